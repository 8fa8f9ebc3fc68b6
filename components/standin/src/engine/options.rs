//! Options and faults of the stand-in engine.

use std::net::SocketAddr;

use bpaf::Bpaf;
use serde::Deserialize;
use serde::Serialize;
use types::Role;

/// Options of the stand-in engine.
#[derive(Debug, Clone, Bpaf)]
pub struct EngineOptions {
    /// Address to serve on
    #[bpaf(argument("ADDRESS"))]
    pub listen: SocketAddr,
    /// Model loaded at start
    #[bpaf(argument("MODEL"), fallback("demo".to_owned()))]
    pub model: String,
    /// Version of the weights loaded at start
    #[bpaf(long("model-version"), argument("VERSION"), fallback("1".to_owned()))]
    pub version: String,
    /// Role at start: prefill, decode or mixed
    #[bpaf(argument::<String>("ROLE"), parse(parse_role), fallback(Role::Mixed))]
    pub role: Role,
    /// Prefill throughput in the mixed role, in tokens per second
    #[bpaf(argument("TOKENS"), fallback(8000.0))]
    pub prefill_rate: f64,
    /// Decode throughput of one stream in the mixed role, in tokens per second
    #[bpaf(argument("TOKENS"), fallback(50.0))]
    pub decode_rate: f64,
    /// Number of requests beyond which each one is decoded more slowly
    #[bpaf(argument("COUNT"), fallback(32))]
    pub slots: u32,
    /// Respond without simulated delays, for benchmarks
    pub instant: bool,
    /// Accept orders regardless of their fencing number
    pub ignore_fencing: bool,
    /// Unavailability during a model load or a role change, in ms
    #[bpaf(argument("MS"), fallback(2000))]
    pub away_ms: u64,
    /// Time from a crash to the restart, in ms
    #[bpaf(argument("MS"), fallback(1000))]
    pub crash_ms: u64,
    /// Age of reported loads, in ms
    #[bpaf(argument("MS"), fallback(300))]
    pub load_lag_ms: u64,
    /// Delay of cache events, in ms
    #[bpaf(argument("MS"), fallback(500))]
    pub cache_lag_ms: u64,
    /// Omit every n-th cache event; 0 omits none
    #[bpaf(argument("N"), fallback(0))]
    pub cache_gap: u64,
    /// Capacity of the prefix cache, in pieces of 2000 tokens
    #[bpaf(argument("COUNT"), fallback(400))]
    pub cache_pieces: usize,
}

impl EngineOptions {
    /// The same defaults as on the command line.
    #[must_use]
    pub fn new(listen: SocketAddr) -> Self {
        Self {
            listen,
            model: "demo".to_owned(),
            version: "1".to_owned(),
            role: Role::Mixed,
            prefill_rate: 8000.0,
            decode_rate: 50.0,
            slots: 32,
            instant: false,
            ignore_fencing: false,
            away_ms: 2000,
            crash_ms: 1000,
            load_lag_ms: 300,
            cache_lag_ms: 500,
            cache_gap: 0,
            cache_pieces: 400,
        }
    }
}

/// Faults to inject. Counts apply to the next events of their kind; absent fields keep their
/// current value.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Number of accepted orders half-way through which the engine crashes.
    pub crash_in_change: Option<u32>,
    /// Crashes immediately; not stored.
    pub crash: bool,
    /// Number of orders rejected with 503.
    pub refuse_orders: Option<u32>,
    /// Number of orders that are accepted but get no response.
    pub lose_order_answers: Option<u32>,
    /// Number of requests rejected with 503.
    pub refuse_requests: Option<u32>,
    /// Number of requests whose connection is closed after half of the output.
    pub cut_requests: Option<u32>,
    /// Factor by which prefill and decode take longer; 1 is normal.
    pub slow: Option<f64>,
    /// Respond without simulated delays.
    pub instant: Option<bool>,
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "bpaf passes the argument by value"
)]
fn parse_role(text: String) -> Result<Role, String> {
    match text.as_str() {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "mixed" => Ok(Role::Mixed),
        _ => Err(format!(
            "unknown role `{text}`; expected prefill, decode or mixed"
        )),
    }
}
