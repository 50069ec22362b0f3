//! The event loop: hollow gateways and their surroundings on one clock.

use crate::backends::{Backend, Kind, Life, Reached};
use crate::clients::{Clients, Wish};
use crate::counter::Counter;
use crate::discovery::Discovery;
use crate::experiment::{EffectModel, Experiment, Trouble};
use crate::links::Links;
use crate::report::{Report, Spread, Window};
use crate::{micros, stream, Micros};
use hdrhistogram::Histogram;
use quota_gateway::{
    Action, AttemptEnd, Endpoint, EndpointState, Event as Heard, Gateway, LoadReport, Outcome, Request,
    Settings,
};
use rand::Rng;
use rustc_hash::FxHashMap;
use std::cmp::Reverse;
use std::collections::{BinaryHeap, VecDeque};
use std::time::{Duration, Instant};

/// The gateways' clocks stand here when an experiment begins, in ms: a counter's windows are named by them.
const CLOCK_MS: f64 = 1e6;
/// A final answer counts as timely so long after the deadline.
const SLACK: Micros = 50_000;
/// An attempt that begins later than this after the client has gone is one too many.
const LEFT: Micros = 100_000;
/// A gateway that is told to end answers what it has for so long, and a new process takes its place after the second.
const ENDS: Micros = 3_200_000;
const BACK: Micros = 300_000;
/// Steps of a release of quote servers; those that drain end after the second.
const STEPS: u32 = 10;
const DRAINS: Micros = 6_000_000;
/// A span of the report.
const WINDOW: Micros = 5_000_000;
/// Idle connections are looked at so often, as the program does.
const SWEEP: Micros = 1_000_000;
/// A line of progress comes so often in real time.
const PROGRESS: Duration = Duration::from_secs(5);

enum Event {
    Arrival,
    /// A client comes again.
    Again(Wish),
    Leave(u64),
    TimerFired {
        node: u32,
        epoch: u32,
        token: u64,
    },
    Reach(u64),
    Done {
        backend: u32,
        generation: u32,
        attempt: u64,
    },
    /// An attempt's answer is at the gateway, or it is known to have none.
    Answer {
        attempt: u64,
        result: Outcome,
    },
    CounterReach {
        call: u64,
        amount: f64,
        life: Micros,
    },
    CounterReply {
        call: u64,
        result: Outcome,
        total: f64,
    },
    Tell {
        node: u32,
        epoch: u32,
    },
    /// Discovery learns what has become of a quote server.
    Learn(u32),
    Deadline(u64),
    Sweep(u32),
    Step(Step),
}

enum Step {
    Begin(usize),
    End(usize),
    EndGateway(u32),
    StartGateway(u32),
    Replace { share: f64 },
    EndBackend(u32),
}

struct Node {
    gateway: Gateway,
    zone: u32,
    epoch: u32,
    accepts: bool,
    version: usize,
    /// Backends that it was told to send nothing more, and when.
    told: FxHashMap<u32, Micros>,
    lines: FxHashMap<u32, Lines>,
    open_lines: u32,
    most_lines: u32,
    used: FxHashMap<u32, u32>,
    tries: u64,
}

/// Connections of one gateway to one quote server.
#[derive(Default)]
struct Lines {
    idle: Vec<Micros>,
    open: u32,
}

struct Open {
    node: u32,
    epoch: u32,
    wish: Wish,
    came: Micros,
    answered: bool,
    left: Option<Micros>,
    /// Attempts so far by number, those out, and the first that may have run: when and in which zone.
    sent: Vec<u64>,
    out: u8,
    ran: Option<(Micros, u32)>,
}

struct Attempt {
    request: u64,
    number: u8,
    node: u32,
    epoch: u32,
    backend: u32,
    sent: Micros,
    live: bool,
    /// The quote server has it in hand or in line.
    inside: bool,
    true_units: f64,
}

struct Call {
    node: u32,
    epoch: u32,
    name: u64,
    sent: Micros,
}

struct World<'a> {
    e: &'a Experiment,
    seed: u64,
    settings: Settings,
    now: Micros,
    serial: u64,
    heap: BinaryHeap<Reverse<(Micros, u64, usize)>>,
    /// Events by place; places are used again.
    events: Vec<Option<Event>>,
    free: Vec<usize>,
    nodes: Vec<Node>,
    backends: Vec<Backend>,
    kind: Kind,
    links: Links,
    counter: Option<Counter>,
    discovery: Discovery,
    clients: Clients,
    open: FxHashMap<u64, Open>,
    attempts: FxHashMap<u64, Attempt>,
    calls: FxHashMap<u64, Call>,
    latency: Histogram<u64>,
    report: Report,
    starts: u64,
}

/// Plays an experiment; an error is one line.
pub fn run(experiment: &Experiment, seed: u64) -> Result<Report, String> {
    let mut world = World::new(experiment, seed)?;
    world.play();
    Ok(world.close())
}

impl<'a> World<'a> {
    fn new(e: &'a Experiment, seed: u64) -> Result<Self, String> {
        let zones = e.topology.zones();
        let settings = e.settings();
        let backends: Vec<_> = (0..e.backends.count)
            .map(|number| Backend::new(seed, number.into(), number % zones, None))
            .collect();
        let list = (0..e.backends.count)
            .map(|number| listed(number, number % zones, EndpointState::Ready, 0.0))
            .collect();
        let mut world = World {
            e,
            seed,
            settings,
            now: 0,
            serial: 0,
            heap: BinaryHeap::new(),
            events: Vec::new(),
            free: Vec::new(),
            nodes: Vec::new(),
            backends,
            kind: Kind::new(e)?,
            links: Links::new(&e.topology),
            counter: e.counter.as_ref().map(Counter::new),
            discovery: Discovery::new(&e.discovery, list, stream(seed, "discovery", 0)),
            clients: Clients::new(e, seed)?,
            open: FxHashMap::default(),
            attempts: FxHashMap::default(),
            calls: FxHashMap::default(),
            latency: Histogram::new_with_bounds(1, 3_600_000_000, 3).map_err(|e| e.to_string())?,
            report: Report { experiment: e.name.clone(), seed, seconds: e.seconds, ..Report::default() },
            starts: 0,
        };
        for number in 0..e.gateways.count {
            let node = world.node(number, 0);
            world.nodes.push(node);
            world.begin_node(number);
            // Sweeps of the gateways are not all due at once.
            let at = SWEEP * Micros::from(number) / Micros::from(e.gateways.count);
            world.at(at, Event::Sweep(number));
        }
        for (number, trouble) in e.troubles.iter().enumerate() {
            let (at_s, for_s) = trouble.span();
            let (at, until) = (micros(at_s * 1000.0), micros((at_s + for_s) * 1000.0));
            world.at(at, Event::Step(Step::Begin(number)));
            world.at(until, Event::Step(Step::End(number)));
        }
        world.at(0, Event::Arrival);
        Ok(world)
    }

    fn node(&mut self, number: u32, epoch: u32) -> Node {
        let zone = number % self.e.topology.zones();
        let settings = Settings { gateway_index: number, zone, ..self.settings.clone() };
        self.starts += 1;
        let seed = stream(self.seed, "gateway", self.starts).random();
        Node {
            gateway: Gateway::new(settings, seed, self.clock()),
            zone,
            epoch,
            accepts: true,
            version: 0,
            told: FxHashMap::default(),
            lines: FxHashMap::default(),
            open_lines: 0,
            most_lines: 0,
            used: FxHashMap::default(),
            tries: 0,
        }
    }

    /// A new process has the whole list that its agent has.
    fn begin_node(&mut self, number: u32) {
        let entries = self.discovery.whole();
        self.nodes[number as usize].version = self.discovery.version();
        self.report.discovery.entries_told += entries.len() as u64;
        self.handle(number, Heard::EndpointUpdate { complete: true, endpoints: entries });
    }

    fn clock(&self) -> f64 {
        CLOCK_MS + self.now as f64 / 1000.0
    }

    fn counts(&self) -> bool {
        self.now >= micros(self.e.count_from_s * 1000.0)
    }

    fn at(&mut self, at: Micros, event: Event) {
        self.serial += 1;
        let place = self.free.pop().unwrap_or_else(|| {
            self.events.push(None);
            self.events.len() - 1
        });
        self.events[place] = Some(event);
        self.heap.push(Reverse((at.max(self.now), self.serial, place)));
    }

    fn play(&mut self) {
        let ends = micros(self.e.seconds * 1000.0);
        let deadline = self.e.classes.iter().map(|class| class.deadline_ms).fold(0.0, f64::max);
        let last = micros(deadline) + 2 * SLACK;
        let (begun, mut told) = (Instant::now(), Instant::now());
        let mut count = 0u64;
        while let Some(Reverse((at, _, place))) = self.heap.pop() {
            // After the last arrival all that is open still gets its answer.
            if at > ends && (self.open.is_empty() || at > ends + last) {
                break;
            }
            self.now = at;
            let event = self.events[place].take();
            self.free.push(place);
            if let Some(event) = event {
                self.event(event, ends);
            }
            count += 1;
            if count % 4096 == 0 && told.elapsed() > PROGRESS {
                told = Instant::now();
                let (emulated, real) = (at as f64 / 1e6, begun.elapsed().as_secs_f64());
                tracing::info!(emulated_s = emulated, real_s = real, events = count, "under way");
            }
        }
    }

    fn window(&mut self) -> &mut Window {
        let place = (self.now / WINDOW) as usize;
        while self.report.windows.len() <= place {
            let from_s = (self.report.windows.len() as u64 * WINDOW) as f64 / 1e6;
            self.report.windows.push(Window { from_s, ..Window::default() });
        }
        &mut self.report.windows[place]
    }

    // ---- What happens -------------------------------------------------------------------------------------

    fn event(&mut self, event: Event, ends: Micros) {
        match event {
            Event::Arrival => {
                if self.now < ends {
                    let gap = self.clients.gap();
                    self.at(self.now + gap, Event::Arrival);
                    let wish = self.clients.wish();
                    self.try_once(wish);
                }
            }
            Event::Again(wish) => {
                if self.now < ends {
                    self.try_once(wish);
                }
            }
            Event::Leave(id) => self.leave(id),
            Event::TimerFired { node, epoch, token } => {
                if self.nodes[node as usize].epoch == epoch {
                    self.handle(node, Heard::TimerFired { token });
                }
            }
            Event::Reach(attempt) => self.reach(attempt),
            Event::Done { backend, generation, attempt } => self.done(backend, generation, attempt),
            Event::Answer { attempt, result } => self.answer(attempt, result),
            Event::CounterReach { call, amount, life } => self.counter_reach(call, amount, life),
            Event::CounterReply { call, result, total } => {
                let Some(Call { node, epoch, name, sent }) = self.calls.remove(&call) else { return };
                if self.counts() {
                    self.report.counter.timeout += u64::from(result == Outcome::Timeout);
                    self.report.counter.full += u64::from(result == Outcome::Rejected);
                }
                if self.nodes[node as usize].epoch == epoch {
                    let elapsed_ms = (self.now - sent) as f64 / 1000.0;
                    self.handle(node, Heard::CounterReply { key: name, outcome: result, total, elapsed_ms });
                }
            }
            Event::Tell { node, epoch } => self.tell(node, epoch),
            Event::Learn(backend) => self.learn(backend),
            Event::Deadline(id) => {
                let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
                open.answered = true;
                let (node, class) = (open.node, open.wish.class);
                self.report.rules.lost += 1;
                let at = self.now as f64 / 1e6;
                self.report.rules.note(|| format!("lost: gateway {node}, class {class}, at {at:.3} s"));
                self.drop_if_ended(id);
            }
            Event::Sweep(number) => {
                let idle = micros(self.e.rules.idle_close_ms / 2.0);
                let node = &mut self.nodes[number as usize];
                for (backend, lines) in &mut node.lines {
                    let before = lines.idle.len();
                    lines.idle.retain(|since| self.now - since < idle);
                    let closed = (before - lines.idle.len()) as u32;
                    lines.open -= closed;
                    node.open_lines -= closed;
                    self.backends[*backend as usize].connections -= closed;
                }
                node.lines.retain(|_, lines| lines.open > 0);
                if self.now < ends {
                    self.at(self.now + SWEEP, Event::Sweep(number));
                }
            }
            Event::Step(step) => self.step(step),
        }
    }

    fn try_once(&mut self, wish: Wish) {
        let nodes = &self.nodes;
        let Some(node) = self.clients.gateway(wish.customer, |number| nodes[number].accepts) else { return };
        self.serial += 1;
        let id = self.serial;
        let class = &self.e.classes[wish.class as usize];
        let deadline = micros(class.deadline_ms);
        self.at(self.now + deadline + SLACK, Event::Deadline(id));
        if let Some(after) = self.clients.leaves(deadline) {
            self.at(self.now + after, Event::Leave(id));
        }
        self.window().tries += 1;
        if self.counts() {
            self.report.requests.tries += 1;
            self.report.requests.offered += u64::from(wish.try_no == 0);
            self.nodes[node].tries += 1;
        }
        let request = Request {
            id,
            customer: wish.customer,
            plan: wish.plan,
            class: wish.class,
            units: wish.units.0,
            timeout_ms: class.deadline_ms,
            gateway_set_size: self.e.load.spread.into(),
            is_retry: wish.try_no > 0,
        };
        let epoch = self.nodes[node].epoch;
        let open = Open {
            node: node as u32,
            epoch,
            wish,
            came: self.now,
            answered: false,
            left: None,
            sent: Vec::new(),
            out: 0,
            ran: None,
        };
        self.open.insert(id, open);
        self.handle(node as u32, Heard::Request(request));
    }

    fn leave(&mut self, id: u64) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        (open.answered, open.left) = (true, Some(self.now));
        let (node, epoch) = (open.node, open.epoch);
        if self.counts() {
            self.report.requests.left += 1;
        }
        if self.nodes[node as usize].epoch == epoch {
            self.handle(node, Heard::ClientDisconnected { id });
        }
        self.drop_if_ended(id);
    }

    /// The bytes of an attempt have come to its quote server.
    fn reach(&mut self, attempt: u64) {
        let counts = self.counts();
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        let backend = &mut self.backends[a.backend as usize];
        if counts && matches!(backend.life, Life::Up) {
            backend.requests += 1;
        }
        match backend.reach(&self.kind, self.now, attempt) {
            Reached::Begun(work) => {
                a.inside = true;
                let (backend, generation) = (a.backend, backend.generation);
                self.at(self.now + work, Event::Done { backend, generation, attempt });
            }
            Reached::Waits => a.inside = true,
            Reached::Full => self.send_back(attempt, Outcome::Rejected),
            Reached::Refused => self.send_back(attempt, Outcome::ConnectFailed),
            Reached::Silent => {}
            Reached::Fell(calls, allowed) => {
                let number = a.backend;
                self.report.rules.fell += 1;
                let at = self.now as f64 / 1e6;
                self.report.rules.note(|| {
                    format!("cold: server {number} got {calls} calls of {allowed:.1} allowed, at {at:.3} s")
                });
                self.send_back(attempt, Outcome::ConnectionReset);
                let after = self.discovery.vanished();
                self.at(self.now + after, Event::Learn(number));
            }
        }
    }

    fn done(&mut self, backend: u32, generation: u32, attempt: u64) {
        let server = &mut self.backends[backend as usize];
        if server.generation != generation {
            return;
        }
        if let Some((next, work)) = server.done(&self.kind, self.now) {
            self.at(self.now + work, Event::Done { backend, generation, attempt: next });
        }
        if self.backends[backend as usize].life != Life::Vanished {
            self.send_back(attempt, Outcome::Success);
        }
    }

    /// An answer goes back to the gateway, if the way is open.
    fn send_back(&mut self, attempt: u64, result: Outcome) {
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        a.inside = false;
        let (from, to) = (self.backends[a.backend as usize].zone, self.nodes[a.node as usize].zone);
        match self.links.way(from, to) {
            Some(way) if a.live => self.at(self.now + way, Event::Answer { attempt, result }),
            _ if a.live => {}
            _ => drop(self.attempts.remove(&attempt)),
        }
    }

    /// An attempt has ended at the gateway.
    fn answer(&mut self, attempt: u64, result: Outcome) {
        let counts = self.counts();
        let Some(a) = self.attempts.get_mut(&attempt) else { return };
        if !std::mem::take(&mut a.live) {
            return;
        }
        let (id, number, node, epoch, backend) = (a.request, a.number, a.node, a.epoch, a.backend);
        let (elapsed_ms, units) = ((self.now - a.sent) as f64 / 1000.0, a.true_units);
        let sent = a.sent;
        if !a.inside {
            self.attempts.remove(&attempt);
        }
        if self.nodes[node as usize].epoch != epoch {
            return;
        }
        self.line_back(node, backend, matches!(result, Outcome::Success | Outcome::Rejected));
        if counts {
            let figures = &mut self.report.attempts;
            match result {
                Outcome::Success => figures.ok += 1,
                Outcome::Rejected => figures.full += 1,
                Outcome::ConnectFailed => figures.connect_failed += 1,
                Outcome::Timeout | Outcome::ConnectionReset => figures.timeout += 1,
                _ => figures.cancelled += 1,
            }
        }
        let Some(open) = self.open.get_mut(&id) else { return };
        open.out -= 1;
        if !result.never_executed() && open.ran.is_none() {
            open.ran = Some((sent, self.backends[backend as usize].zone));
        }
        let served = result == Outcome::Success && !open.answered;
        if served {
            open.answered = true;
            let took = self.now - open.came;
            let in_time = took <= micros(self.e.classes[open.wish.class as usize].aim_ms);
            let late = took > micros(self.e.classes[open.wish.class as usize].deadline_ms) + SLACK;
            self.served(took, in_time, late);
        }
        let ended = self.open.get(&id).is_none_or(|open| open.answered);
        let units = (result == Outcome::Success).then_some(units);
        let load = LoadReport::default();
        let outcome = AttemptEnd {
            id,
            attempt: number,
            endpoint: backend,
            outcome: result,
            request_answered: ended,
            actual_units: units,
            elapsed_ms,
            load,
        };
        self.handle(node, Heard::AttemptEnded(outcome));
        self.drop_if_ended(id);
    }

    fn served(&mut self, took: Micros, in_time: bool, lost: bool) {
        if in_time {
            self.window().served += 1;
        } else {
            self.window().late += 1;
        }
        if lost {
            self.report.rules.lost += 1;
            self.report.rules.note(|| format!("lost: served after {took} us"));
        }
        if self.counts() {
            self.report.requests.served += u64::from(in_time);
            self.report.requests.late += u64::from(!in_time);
            self.latency.saturating_record(took.max(1));
        }
    }

    fn drop_if_ended(&mut self, id: u64) {
        if self.open.get(&id).is_some_and(|open| open.answered && open.out == 0) {
            self.open.remove(&id);
        }
    }

    fn counter_reach(&mut self, call: u64, amount: f64, life: Micros) {
        let Some(Call { node, name, .. }) = self.calls.get(&call) else { return };
        let zone = self.nodes[*node as usize].zone;
        let Some(counter) = &mut self.counter else { return };
        if counter.down {
            return;
        }
        let Some(way) = self.links.way(counter.zone, zone) else { return };
        let (at, result, total) = match counter.call(self.now, *name, amount, life) {
            Some((at, total)) => (at, Outcome::Success, total),
            None => (self.now, Outcome::Rejected, 0.0),
        };
        self.at(at + way, Event::CounterReply { call, result, total });
    }

    // ---- The list -----------------------------------------------------------------------------------------

    /// Discovery has a change: each agent hears of it after its own time.
    fn spread(&mut self) {
        if self.discovery.down {
            return;
        }
        for number in 0..self.nodes.len() {
            let at = self.now + self.discovery.notice();
            let epoch = self.nodes[number].epoch;
            self.at(at, Event::Tell { node: number as u32, epoch });
        }
    }

    fn tell(&mut self, number: u32, epoch: u32) {
        let node = &mut self.nodes[number as usize];
        // An agent that is cut off hears of it later; here it stands beside its gateway and only discovery is down.
        if node.epoch != epoch || self.discovery.down || node.version == self.discovery.version() {
            return;
        }
        let entries = self.discovery.since(node.version);
        node.version = self.discovery.version();
        for entry in &entries {
            match entry.state {
                EndpointState::Ready => drop(node.told.remove(&entry.id)),
                _ => drop(node.told.entry(entry.id).or_insert(self.now)),
            }
        }
        self.report.discovery.entries_told += entries.len() as u64;
        self.handle(number, Heard::EndpointUpdate { complete: false, endpoints: entries });
    }

    fn learn(&mut self, backend: u32) {
        let server = &self.backends[backend as usize];
        let state = match server.life {
            Life::Up => EndpointState::Ready,
            Life::Draining => EndpointState::Draining,
            Life::Vanished | Life::Gone => EndpointState::Removed,
        };
        let started = server.started.map_or(0.0, |at| CLOCK_MS + at as f64 / 1000.0);
        self.discovery.change(listed(backend, server.zone, state, started));
        self.report.discovery.changes += 1;
        self.spread();
    }

    // ---- What goes wrong ----------------------------------------------------------------------------------

    fn step(&mut self, step: Step) {
        match step {
            Step::Begin(number) => self.begin(&self.e.troubles[number]),
            Step::End(number) => self.end(&self.e.troubles[number]),
            Step::EndGateway(number) => {
                self.nodes[number as usize].accepts = false;
                self.at(self.now + ENDS + BACK, Event::Step(Step::StartGateway(number)));
            }
            Step::StartGateway(number) => self.restart(number),
            Step::Replace { share } => self.replace(share),
            Step::EndBackend(number) => {
                self.backends[number as usize].end(Life::Gone);
                self.learn(number);
            }
        }
    }

    fn begin(&mut self, trouble: &Trouble) {
        match *trouble {
            Trouble::ZoneLoss { zone, .. } => {
                for number in 0..self.backends.len() {
                    let server = &mut self.backends[number];
                    if server.zone == zone && matches!(server.life, Life::Up | Life::Draining) {
                        server.end(Life::Vanished);
                        let after = self.discovery.vanished();
                        self.at(self.now + after, Event::Learn(number as u32));
                    }
                }
            }
            Trouble::RegionCut { region, .. } => self.links.set_cut(region, true),
            Trouble::DiscoveryDown { .. } => self.discovery.down = true,
            Trouble::CounterDown { .. } => {
                if let Some(counter) = &mut self.counter {
                    counter.down = true;
                }
            }
            Trouble::GatewayRelease { for_s, .. } => {
                let count = self.nodes.len() as u64;
                for number in 0..count {
                    let after = micros(for_s * 1000.0) * number / count;
                    self.at(self.now + after, Event::Step(Step::EndGateway(number as u32)));
                }
            }
            Trouble::BackendRelease { for_s, share, .. } => {
                for step in 0..STEPS {
                    let after = micros(for_s * 1000.0) * Micros::from(step) / Micros::from(STEPS);
                    let share = share / f64::from(STEPS);
                    self.at(self.now + after, Event::Step(Step::Replace { share }));
                }
            }
        }
    }

    fn end(&mut self, trouble: &Trouble) {
        match *trouble {
            Trouble::ZoneLoss { zone, .. } => {
                for number in 0..self.backends.len() {
                    let server = &mut self.backends[number];
                    if server.zone == zone && server.life == Life::Vanished {
                        server.start(self.now);
                        self.learn(number as u32);
                    }
                }
            }
            Trouble::RegionCut { region, .. } => self.links.set_cut(region, false),
            Trouble::DiscoveryDown { .. } => {
                self.discovery.down = false;
                self.spread();
            }
            Trouble::CounterDown { .. } => {
                if let Some(counter) = &mut self.counter {
                    counter.down = false;
                    counter.empty();
                }
            }
            Trouble::GatewayRelease { .. } | Trouble::BackendRelease { .. } => {}
        }
    }

    /// The process ends; what it has not answered by now is lost. A new one starts under its name.
    fn restart(&mut self, number: u32) {
        let old = &self.nodes[number as usize];
        let epoch = old.epoch;
        let mut open: Vec<_> = self
            .open
            .iter()
            .filter(|(_, open)| open.node == number && open.epoch == epoch)
            .map(|(id, _)| *id)
            .collect();
        open.sort_unstable();
        for id in open {
            let unanswered = self.open.remove(&id).is_some_and(|open| !open.answered);
            if unanswered {
                self.report.requests.ended += 1;
                self.report.rules.lost += 1;
                self.report.rules.note(|| format!("lost: gateway {number} ended with request {id} open"));
            }
        }
        let closed: Vec<_> = old.lines.iter().map(|(backend, lines)| (*backend, lines.open)).collect();
        for (backend, lines) in closed {
            self.backends[backend as usize].connections -= lines;
        }
        let mut node = self.node(number, epoch + 1);
        let old = &mut self.nodes[number as usize];
        (node.tries, node.most_lines, node.used) = (old.tries, old.most_lines, std::mem::take(&mut old.used));
        self.nodes[number as usize] = node;
        self.begin_node(number);
    }

    /// A share of the quote servers drains, and as many new ones start.
    fn replace(&mut self, share: f64) {
        let count = (f64::from(self.e.backends.count) * share).round() as usize;
        let picked: Vec<_> = (0..self.backends.len())
            .filter(|number| {
                self.backends[*number].life == Life::Up && self.backends[*number].started.is_none()
            })
            .take(count)
            .collect();
        for number in picked {
            self.backends[number].life = Life::Draining;
            self.at(self.now + DRAINS, Event::Step(Step::EndBackend(number as u32)));
            self.learn(number as u32);
            let new = self.backends.len();
            let zone = self.backends[number].zone;
            self.backends.push(Backend::new(self.seed, new as u64, zone, Some(self.now)));
            self.learn(new as u32);
        }
    }

    // ---- What gateways do ---------------------------------------------------------------------------------

    fn handle(&mut self, number: u32, event: Heard) {
        let now_ms = self.clock();
        let mut events = VecDeque::from([event]);
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            self.nodes[number as usize].gateway.handle(now_ms, event, &mut actions);
            for action in actions.drain(..) {
                if let Some(more) = self.act(number, action) {
                    events.push_back(more);
                }
            }
        }
    }

    fn act(&mut self, number: u32, action: Action) -> Option<Heard> {
        match action {
            Action::SendAttempt { id, endpoint: backend, timeout_ms } => {
                return self.send(number, id, backend, timeout_ms)
            }
            Action::CancelAttempt { id, attempt } => {
                let attempt = *self.open.get(&id)?.sent.get(usize::from(attempt))?;
                self.at(self.now, Event::Answer { attempt, result: Outcome::Cancelled });
            }
            Action::Reject { id, retry_after_ms } => self.final_answer(id, Some(retry_after_ms)),
            Action::Fail { id } => self.final_answer(id, None),
            Action::SetTimer { token, after_ms } => {
                let epoch = self.nodes[number as usize].epoch;
                self.at(self.now + micros(after_ms), Event::TimerFired { node: number, epoch, token });
            }
            Action::AddToCounter { key: name, amount, ttl_ms: lifetime_ms } => {
                let counter = self.counter.as_ref()?;
                let (zone, timeout) = (counter.zone, counter.timeout);
                self.serial += 1;
                let call = self.serial;
                let node = &self.nodes[number as usize];
                self.calls.insert(call, Call { node: number, epoch: node.epoch, name, sent: self.now });
                if self.counts() {
                    self.report.counter.calls += 1;
                }
                let life = micros(lifetime_ms);
                if let Some(way) = self.links.way(node.zone, zone) {
                    self.at(self.now + way, Event::CounterReach { call, amount, life });
                }
                self.at(
                    self.now + timeout,
                    Event::CounterReply { call, result: Outcome::Timeout, total: 0.0 },
                );
            }
            // The agent pushes its list in any case; probes and messages are not permitted here.
            Action::WatchEndpoints
            | Action::CheckHealth { .. }
            | Action::Gossip { .. }
            | Action::Log { .. } => {}
        }
        None
    }

    fn send(&mut self, number: u32, id: u64, backend: u32, timeout_ms: f64) -> Option<Heard> {
        let counts = self.counts();
        let moot = |attempt: u8, ended: bool| {
            let (result, load, units, elapsed_ms) = (Outcome::NotSent, LoadReport::default(), None, 0.0);
            Some(Heard::AttemptEnded(AttemptEnd {
                id,
                attempt,
                endpoint: backend,
                outcome: result,
                request_answered: ended,
                actual_units: units,
                elapsed_ms,
                load,
            }))
        };
        let Some(open) = self.open.get_mut(&id) else { return moot(0, true) };
        self.serial += 1;
        let (attempt, attempt_no) = (self.serial, open.sent.len() as u8);
        open.sent.push(attempt);
        if let Some(left) = open.left.filter(|left| self.now > left + LEFT) {
            self.report.rules.left += 1;
            let late = (self.now - left) / 1000;
            self.report
                .rules
                .note(|| format!("left: gateway {number} sent {late} ms after the client had gone"));
        }
        let deadline = open.came + micros(self.e.classes[open.wish.class as usize].deadline_ms);
        if open.answered || u32::from(attempt_no) >= self.e.rules.max_attempts || self.now >= deadline {
            return moot(attempt_no, open.answered);
        }
        // May it be sent at all?
        let zone = self.backends[backend as usize].zone;
        let doubled = match (self.e.classes[open.wish.class as usize].effect, open.ran) {
            (EffectModel::Unsafe, ran) => ran.is_some() || open.out > 0,
            (EffectModel::KeyedZone, Some((at, first))) => {
                first != zone || self.now > at + micros(self.e.rules.window_ms)
            }
            (EffectModel::KeyedAll, Some((at, _))) => self.now > at + micros(self.e.rules.window_ms),
            _ => false,
        };
        if doubled {
            self.report.rules.doubled += 1;
            self.report.rules.note(|| format!("doubled: gateway {number} sent request {id} again"));
        }
        open.out += 1;
        let (true_units, further) = (open.wish.units.1, attempt_no > 0);
        let node = &mut self.nodes[number as usize];
        let grace = micros(self.e.rules.drain_grace_ms);
        if let Some(told) = node.told.get(&backend).filter(|told| self.now > *told + grace) {
            self.report.rules.drain += 1;
            let late = (self.now - told) / 1000;
            self.report.rules.note(|| {
                format!("drain: gateway {number} sent to server {backend} {late} ms after it was told")
            });
        }
        // A connection that rests, or a new one.
        let idle = micros(self.e.rules.idle_close_ms / 2.0);
        let lines = node.lines.entry(backend).or_default();
        let mut new = true;
        while let Some(since) = lines.idle.pop() {
            if self.now - since < idle {
                new = false;
                break;
            }
            lines.open -= 1;
            node.open_lines -= 1;
            self.backends[backend as usize].connections -= 1;
        }
        let server = &mut self.backends[backend as usize];
        let mut full = false;
        if new {
            full = server.connections >= self.kind.connections;
            lines.open += 1;
            node.open_lines += 1;
            node.most_lines = node.most_lines.max(node.open_lines);
            server.connections += 1;
        }
        if counts {
            let figures = &mut self.report.attempts;
            figures.sent += 1;
            figures.further += u64::from(further);
            figures.handshakes += u64::from(new);
            figures.cross_zone += u64::from(zone != node.zone);
            *node.used.entry(backend).or_default() += 1;
        }
        let (epoch, vanished) = (node.epoch, server.life == Life::Vanished);
        let way = self.links.way(node.zone, zone).filter(|_| !vanished);
        self.attempts.insert(
            attempt,
            Attempt {
                request: id,
                number: attempt_no,
                node: number,
                epoch,
                backend,
                sent: self.now,
                live: true,
                inside: false,
                true_units,
            },
        );
        let until = (self.now + micros(timeout_ms)).min(deadline);
        self.at(until, Event::Answer { attempt, result: Outcome::Timeout });
        let connect = micros(self.e.rules.connect_ms);
        match way {
            Some(way) if full => {
                self.at(self.now + 2 * way, Event::Answer { attempt, result: Outcome::Rejected })
            }
            Some(way) => {
                let handshake = if new { 2 * way + self.kind.handshake } else { 0 };
                self.at(self.now + handshake + way, Event::Reach(attempt));
            }
            // A new connection never comes up; on an old one nothing is said.
            None if new => {
                self.at(self.now + connect, Event::Answer { attempt, result: Outcome::ConnectFailed })
            }
            None => {}
        }
        None
    }

    /// A connection is free again, or closed with its attempt.
    fn line_back(&mut self, number: u32, backend: u32, keep: bool) {
        let node = &mut self.nodes[number as usize];
        let Some(lines) = node.lines.get_mut(&backend) else { return };
        if keep {
            lines.idle.push(self.now);
        } else {
            lines.open -= 1;
            node.open_lines -= 1;
            self.backends[backend as usize].connections -= 1;
        }
    }

    /// Refused with this advice, or failed.
    fn final_answer(&mut self, id: u64, refused: Option<f64>) {
        let Some(open) = self.open.get_mut(&id).filter(|open| !open.answered) else { return };
        open.answered = true;
        let wish = open.wish.clone();
        if refused.is_some() {
            self.window().refused += 1;
        } else {
            self.window().failed += 1;
        }
        if self.counts() {
            self.report.requests.refused += u64::from(refused.is_some());
            self.report.requests.failed += u64::from(refused.is_none());
        }
        if let Some((wish, wait)) = self.clients.again(&wish, refused.unwrap_or(0.0)) {
            self.at(self.now + wait, Event::Again(wish));
        }
        self.drop_if_ended(id);
    }

    // ---- The report ---------------------------------------------------------------------------------------

    fn close(self) -> Report {
        let mut report = self.report;
        report.counted_s = self.e.seconds - self.e.count_from_s;
        report.latency_ms = Spread::of_micros(&self.latency);
        let nodes = |figure: &dyn Fn(&Node) -> f64| Spread::of(self.nodes.iter().map(figure).collect());
        report.gateways.tries = nodes(&|node| node.tries as f64);
        report.gateways.backends_used = nodes(&|node| node.used.len() as f64);
        report.gateways.connections = nodes(&|node| f64::from(node.most_lines));
        report.gateways.customers = nodes(&|node| node.gateway.customer_count() as f64);
        let mut senders = vec![0u32; self.backends.len()];
        for node in &self.nodes {
            node.used.keys().for_each(|backend| senders[*backend as usize] += 1);
        }
        let up: Vec<_> =
            (0..self.backends.len()).filter(|number| self.backends[*number].life == Life::Up).collect();
        let requests = |number: &usize| self.backends[*number].requests as f64;
        report.backends.requests = Spread::of(up.iter().map(requests).collect());
        report.backends.without =
            up.iter().filter(|number| self.backends[**number].requests == 0).count() as u64;
        report.backends.senders = Spread::of(up.iter().map(|number| f64::from(senders[*number])).collect());
        report.backends.connections =
            Spread::of(up.iter().map(|number| f64::from(self.backends[*number].connections)).collect());
        report.counter.calls_per_try = report.counter.calls as f64 / (report.requests.tries.max(1)) as f64;
        report.counter.names = self.counter.as_ref().map_or(0, |counter| counter.names() as u64);
        report
    }
}

fn listed(number: u32, zone: u32, state: EndpointState, started: f64) -> Endpoint {
    Endpoint {
        id: number,
        hash_key: number.into(),
        zone,
        kind: 0,
        cell: 0,
        state,
        weight: 1.0,
        started_at: started,
    }
}
