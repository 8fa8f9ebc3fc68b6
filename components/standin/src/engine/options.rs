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
    /// Version of its weights
    #[bpaf(long("model-version"), argument("VERSION"), fallback("1".to_owned()))]
    pub version: String,
    /// Role at start: prefill, decode or mixed
    #[bpaf(argument::<String>("ROLE"), parse(parse_role), fallback(Role::Mixed))]
    pub role: Role,
    /// Prompt tokens a second in the mixed role
    #[bpaf(argument("TOKENS"), fallback(8000.0))]
    pub prefill_rate: f64,
    /// Output tokens a second of one stream in the mixed role
    #[bpaf(argument("TOKENS"), fallback(50.0))]
    pub decode_rate: f64,
    /// Streams at full speed at once
    #[bpaf(argument("COUNT"), fallback(32))]
    pub slots: u32,
    /// Answer at once, for speed tests
    pub instant: bool,
    /// Obey orders whatever their fencing number
    pub ignore_fencing: bool,
    /// Time away for a load or a change of role, in ms
    #[bpaf(argument("MS"), fallback(2000))]
    pub away_ms: u64,
    /// Time away after a crash, in ms
    #[bpaf(argument("MS"), fallback(1000))]
    pub crash_ms: u64,
    /// Age of reported loads, in ms
    #[bpaf(argument("MS"), fallback(300))]
    pub load_lag_ms: u64,
    /// Delay of cache events, in ms
    #[bpaf(argument("MS"), fallback(500))]
    pub cache_lag_ms: u64,
    /// Leave out every n-th cache event; 0 leaves out none
    #[bpaf(argument("N"), fallback(0))]
    pub cache_gap: u64,
    /// Cache pieces that the engine holds
    #[bpaf(argument("COUNT"), fallback(400))]
    pub cache_pieces: usize,
}

impl EngineOptions {
    /// Defaults of the command line.
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

/// Faults to inject; counts apply to the next events of their kind. Fields that are left out
/// change nothing.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Changes in the middle of which the engine crashes.
    pub crash_in_change: Option<u32>,
    /// Crashes at once.
    pub crash: bool,
    /// Orders refused with 503.
    pub refuse_orders: Option<u32>,
    /// Orders obeyed without an answer.
    pub lose_order_answers: Option<u32>,
    /// Requests refused with 503.
    pub refuse_requests: Option<u32>,
    /// Requests cut off half way.
    pub cut_requests: Option<u32>,
    /// Factor on all times of a request; 1 is normal.
    pub slow: Option<f64>,
    /// Answer at once.
    pub instant: Option<bool>,
}

#[expect(
    clippy::needless_pass_by_value,
    reason = "the parser hands the text over"
)]
fn parse_role(text: String) -> Result<Role, String> {
    match text.as_str() {
        "prefill" => Ok(Role::Prefill),
        "decode" => Ok(Role::Decode),
        "mixed" => Ok(Role::Mixed),
        _ => Err(format!(
            "unknown role `{text}`; use prefill, decode or mixed"
        )),
    }
}
