//! The deployments whose settings the cases use.

/// A deployment.
pub struct Site {
    pub zones: &'static [&'static str],
    /// The class that is safe to repeat, and the one that must never run twice.
    pub safe_class: Class,
    pub unsafe_class: Class,
    /// A plan of the site.
    pub plan: &'static str,
    pub longest_give_up_ms: u64,
    /// The settings object of a gateway's configuration.
    pub settings: &'static str,
}

/// A class of requests.
pub struct Class {
    pub name: &'static str,
    pub give_up_ms: u64,
}

/// The first customer's deployment, for one gateway in the first room.
pub const CENTRALA_KALISZ: Site = Site {
    zones: &["room-a", "room-b", "room-c"],
    safe_class: Class {
        name: "price-calc",
        give_up_ms: 2500,
    },
    unsafe_class: Class {
        name: "quote-issue",
        give_up_ms: 2500,
    },
    plan: "pro",
    longest_give_up_ms: 2500,
    settings: r#"{
"balancers":1,"position":0,"locality":0,"zones":["room-a","room-b","room-c"],"kinds":["std-2c","slow-3c"],
"granularity-ms":4.0,"membership-mode":"push","categories":[
{"name":"price-calc","aim-ms":750.0,"give-up-ms":2500.0,"value":1.0,"late-worth":0.0,"effect":"read_like",
"group":"all","window-ms":5000.0,"stream":false},
{"name":"quote-issue","aim-ms":1000.0,"give-up-ms":2500.0,"value":2.0,"late-worth":0.0,"effect":"non_idempotent",
"group":"all","window-ms":5000.0,"stream":false}],
"tiers-of-service":[{"name":"pro","refill":16.0,"store-size":44.0,"max-out":0,"pays":1.4,"extra-worth":0.0,
"excess-cost":0.5,"cap-rate":0.0,"cap-depth":0.0,"ceiling-slack":0.0}],
"domain":{"may-count":true,"counter-timeout-ms":30.0,"count-fee":0.01,"units-top":4,"trued-up":true,
"peer-intake":0.0,"use-period-ms":0.0},
"limits":{"try-limit":5,"may-duplicate":true,"cancel":true,"probing":false,"peers":false,"retry-after":true,
"max-retry-after-ms":500.0,"connect-timeout-ms":250.0,"idle-close-ms":30000.0,"streams-per-conn":100},
"penalties":{"cross-zone":0.013,"waste":0.16,"probe":0.0,"late-fail":0.05,"handshake":0.0},
"rules":{"answer-slack-ms":16.0,"cold-from":0.16,"warm-up-ms":15000.0,"drain-grace-ms":2000.0,
"fall-multiple":4.0,"fall-ms":1500.0,"ask-within-ms":10000.0}}"#,
};

/// The deployment in `deploy/sites/sur`, for one gateway in the first zone.
pub const SUR_PAGOS: Site = Site {
    zones: &["este", "oeste", "norte", "sur"],
    safe_class: Class {
        name: "saldo",
        give_up_ms: 4000,
    },
    unsafe_class: Class {
        name: "pago",
        give_up_ms: 5000,
    },
    plan: "banco",
    longest_give_up_ms: 5000,
    settings: r#"{
"balancers":1,"position":0,"locality":0,"zones":["este","oeste","norte","sur"],"kinds":["nodo-3c","nodo-4c"],
"granularity-ms":4.0,"membership-mode":"push","categories":[
{"name":"saldo","aim-ms":1200.0,"give-up-ms":4000.0,"value":1.0,"late-worth":0.4,"effect":"read_like",
"group":"all","window-ms":5000.0,"stream":false},
{"name":"pago","aim-ms":2500.0,"give-up-ms":5000.0,"value":4.0,"late-worth":0.0,"effect":"non_idempotent",
"group":"all","window-ms":5000.0,"stream":false}],
"tiers-of-service":[{"name":"banco","refill":24.0,"store-size":36.0,"max-out":0,"pays":2.0,"extra-worth":0.0,
"excess-cost":0.2,"cap-rate":0.0,"cap-depth":0.0,"ceiling-slack":0.0}],
"domain":{"may-count":true,"counter-timeout-ms":50.0,"count-fee":0.01,"units-top":3,"trued-up":true,
"peer-intake":0.0,"use-period-ms":0.0},
"limits":{"try-limit":5,"may-duplicate":true,"cancel":true,"probing":false,"peers":false,"retry-after":true,
"max-retry-after-ms":2000.0,"connect-timeout-ms":400.0,"idle-close-ms":45000.0,"streams-per-conn":32},
"penalties":{"cross-zone":0.0,"waste":0.1,"probe":0.0,"late-fail":0.06,"handshake":0.0},
"rules":{"answer-slack-ms":16.0,"cold-from":0.27,"warm-up-ms":17000.0,"drain-grace-ms":2500.0,
"fall-multiple":3.0,"fall-ms":2000.0,"ask-within-ms":10000.0}}"#,
};
