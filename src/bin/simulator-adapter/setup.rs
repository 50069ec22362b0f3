//! Reads the settings of an instance from the settings text of its `PROVISION` record.

use crate::settings_text::{SettingsError, SettingsText};
use quota_gateway::wire_settings::{unused_class_keys, InvalidSetting, WireSettings};
use quota_gateway::Settings;

/// Reads the library's settings from the settings text.
pub fn read(text: &str) -> Result<Settings, SettingsError> {
    let mut text = SettingsText::new(text);
    remove_unused_class_keys(&mut text)?;
    let wire: WireSettings = text.read()?;
    wire.check_complete().map_err(missing)?;
    let settings = wire.to_settings();
    check_zone(&wire, &settings)?;
    check_simulator_settings(&text, settings.classes.len())?;
    Ok(settings)
}

/// Removes keys that have arbitrary values because they have no meaning for their class.
fn remove_unused_class_keys(text: &mut SettingsText) -> Result<(), SettingsError> {
    for class in 0..text.integer("categories.count")? {
        let effect = text.raw(&format!("categories.{class}.effect"))?;
        for key in unused_class_keys(effect) {
            text.remove(&format!("categories.{class}.{key}"));
        }
    }
    Ok(())
}

fn missing(setting: InvalidSetting) -> SettingsError {
    SettingsError::Missing {
        path: setting.path.dotted(),
    }
}

fn check_zone(wire: &WireSettings, settings: &Settings) -> Result<(), SettingsError> {
    let zones = wire.zone_names.len();
    if settings.zone as usize >= zones {
        return Err(SettingsError::UnknownZone {
            zone: settings.zone,
            zones,
        });
    }
    Ok(())
}

/// Validates the settings that only the simulator uses: which classes stream their responses, and how endpoints report
/// their load.
fn check_simulator_settings(text: &SettingsText, classes: usize) -> Result<(), SettingsError> {
    for class in 0..classes {
        text.boolean(&format!("categories.{class}.stream"))?;
    }
    text.one_of("report.how", &["off", "inline", "on_probe"])?;
    Ok(())
}
