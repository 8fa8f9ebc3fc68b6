//! Definition of the command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Chervilspool serves language models on a fixed fleet of engines
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 done, 1 failed, 2 wrong usage, 3 conflict with another change or with what \
         is in use, 4 not found, 5 the entry or the table is not available."
    )
)]
pub enum Cli {
    /// Run the daemon of an entry host
    #[bpaf(
        command,
        footer("Example: chervilspool entry --settings /etc/chervilspool/entry.jsonc")
    )]
    Entry(#[bpaf(external(settings_file))] PathBuf),
    /// Run the daemon beside a target
    #[bpaf(
        command,
        footer("Example: chervilspool agent --settings /etc/chervilspool/agent.jsonc")
    )]
    Agent(#[bpaf(external(settings_file))] PathBuf),
    /// Run the daemon of a front host on the users' platform
    #[bpaf(command, footer("Example: chervilspool gateway --settings local.toml"))]
    Gateway(#[bpaf(external(boot_file))] PathBuf),
    /// Check the settings of a daemon without starting it; files in TOML are the platform's
    #[bpaf(
        command,
        footer("Example: chervilspool check --settings examples/settings/kitagawa-entry.jsonc")
    )]
    Check(#[bpaf(external(settings_file))] PathBuf),
    /// Create, change, retire and show profiles
    #[bpaf(
        command,
        footer(
            "Example: chervilspool profile change radio-desk --set deadline_ms=8000 --reason storm"
        )
    )]
    Profile(#[bpaf(external(profile_command))] ProfileCommand),
    /// Choose the profiles that services run under
    #[bpaf(
        command,
        footer(
            "Example: chervilspool service set mesa-refugios --kind model --profile radio-desk"
        )
    )]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// Give orders to engines
    #[bpaf(
        command,
        footer("Example: chervilspool engine drain bitacora-03 --reason 'disk replaced'")
    )]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Show targets, entries and the revisions in force
    #[bpaf(command, footer("Example: chervilspool status --json"))]
    Status(#[bpaf(external(entry_options))] EntryOptions),
    /// Explain what happened to a request, or why an engine gets the work it gets
    #[bpaf(
        command,
        footer("Example: chervilspool explain --log gateways.log 4dbe4390105c05c3")
    )]
    Explain {
        #[bpaf(external(entry_options), optional)]
        entry: Option<EntryOptions>,
        /// Read the logs of gateways instead of asking an entry; `-` is standard input
        #[bpaf(long, argument("FILE"))]
        log: Vec<PathBuf>,
        /// Request id (`x-request-id` of the answer) or name of an engine
        #[bpaf(positional("REQUEST|ENGINE"))]
        subject: String,
    },
    /// Show changes, newest first
    #[bpaf(
        command,
        footer("Example: chervilspool audit --limit 20 --before 1200")
    )]
    Audit {
        #[bpaf(external(entry_options))]
        entry: EntryOptions,
        /// Show only revisions below this one
        #[bpaf(argument("REVISION"))]
        before: Option<u64>,
        /// Show at most this many changes
        #[bpaf(argument("NUMBER"), fallback(20), display_fallback)]
        limit: usize,
    },
}

fn settings_file() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings")
        .help("File in JSON with comments")
        .argument("FILE")
}

fn boot_file() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings")
        .env(platform::BOOT_VARIABLE)
        .help("The platform's settings file, in TOML")
        .argument("FILE")
}

/// How an entry is reached.
#[derive(Debug, Clone, Bpaf)]
pub struct EntryOptions {
    /// Operators' address of an entry
    #[bpaf(long, env("CHERVILSPOOL_ENTRY"), argument("ADDR"))]
    pub entry: SocketAddr,
    /// File that holds the operator's token
    #[bpaf(long, env("CHERVILSPOOL_TOKEN_FILE"), argument("FILE"))]
    pub token_file: PathBuf,
    /// Print JSON
    #[bpaf(long)]
    pub json: bool,
}

/// Conditions of a change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    #[bpaf(external)]
    pub entry_options: EntryOptions,
    /// Fail if the item has another revision than this one
    #[bpaf(long, argument("REVISION"))]
    pub if_revision: Option<u64>,
    /// Check everything and change nothing
    #[bpaf(long)]
    pub dry_run: bool,
    /// Why, for the audit trail
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    pub reason: String,
}

/// Values of a profile.
#[derive(Debug, Clone, Bpaf)]
pub struct ProfileValues {
    /// File with the fields of the profile, in JSON with comments
    #[bpaf(long, argument("FILE"))]
    pub file: Option<PathBuf>,
    /// Value of one field; may be repeated
    #[bpaf(long, argument("FIELD=VALUE"))]
    pub set: Vec<String>,
}

/// Commands about profiles.
#[derive(Debug, Clone, Bpaf)]
pub enum ProfileCommand {
    /// Create a profile; fields that are not given have their defaults
    #[bpaf(
        command,
        footer(
            "Example: chervilspool profile create radio-desk --set model=refugio-7b --set priority=0"
        )
    )]
    Create {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external(profile_values))]
        values: ProfileValues,
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Change fields of a profile; the others stay as they are
    #[bpaf(
        command,
        footer(
            "Example: chervilspool profile change radio-desk --set deadline_ms=8000 --reason storm"
        )
    )]
    Change {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external(profile_values))]
        values: ProfileValues,
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// Retire a profile that no service uses
    #[bpaf(command, footer("Example: chervilspool profile retire old-drafts"))]
    Retire {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List profiles
    #[bpaf(command, footer("Example: chervilspool profile list"))]
    List(#[bpaf(external(entry_options))] EntryOptions),
    /// Show a profile, its revision, and the entries that do not have it in force yet
    #[bpaf(command, footer("Example: chervilspool profile show radio-desk"))]
    Show {
        #[bpaf(external(entry_options))]
        entry: EntryOptions,
        /// Name of the profile
        #[bpaf(positional("NAME"))]
        name: String,
    },
}

/// Commands about services.
#[derive(Debug, Clone, Bpaf)]
pub enum ServiceCommand {
    /// Create a service, or let it pick another profile
    #[bpaf(
        command,
        footer(
            "Example: chervilspool service set mesa-refugios --kind model --profile radio-desk"
        )
    )]
    Set {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// `model` for engines or `plain`; needed for a new service
        #[bpaf(long, argument("KIND"))]
        kind: Option<String>,
        /// Profile that the service runs under
        #[bpaf(long, argument("PROFILE"))]
        profile: String,
        /// Name of the service
        #[bpaf(positional("NAME"))]
        name: String,
    },
    /// List services
    #[bpaf(command, footer("Example: chervilspool service list --json"))]
    List(#[bpaf(external(entry_options))] EntryOptions),
}

/// Commands about engines.
#[derive(Debug, Clone, Bpaf)]
pub enum EngineCommand {
    /// List engines and plain targets
    #[bpaf(command, footer("Example: chervilspool engine list"))]
    List(#[bpaf(external(entry_options))] EntryOptions),
    /// Finish what runs and take nothing new
    #[bpaf(
        command,
        footer("Example: chervilspool engine drain bitacora-03 --reason 'disk replaced'")
    )]
    Drain {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Drain, then hand the slot to a new host
    #[bpaf(command, footer("Example: chervilspool engine replace bitacora-03"))]
    Replace {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Drain, then leave the fleet for good
    #[bpaf(command, footer("Example: chervilspool engine withdraw bitacora-03"))]
    Withdraw {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Take work again after a drain
    #[bpaf(command, footer("Example: chervilspool engine resume bitacora-03"))]
    Resume {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Change the model, the adapters or the role of an engine
    #[bpaf(
        command,
        footer("Example: chervilspool engine order bitacora-03 --role decode")
    )]
    Order {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        #[bpaf(external(order_content))]
        content: OrderContent,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
}

/// What an engine is ordered to do.
#[derive(Debug, Clone, Bpaf)]
pub enum OrderContent {
    /// Load a model and drop the one in force
    LoadModel {
        /// Model to load
        #[bpaf(long, argument("MODEL"))]
        model: String,
        /// Version of its weights
        #[bpaf(long, argument("VERSION"))]
        model_version: String,
    },
    /// Load an adapter
    LoadAdapter {
        /// Adapter to load beside those in force
        #[bpaf(long, argument("ADAPTER"))]
        load_adapter: String,
    },
    /// Remove an adapter
    UnloadAdapter {
        /// Adapter to remove
        #[bpaf(long, argument("ADAPTER"))]
        unload_adapter: String,
    },
    /// Change the role
    ChangeRole {
        /// `prefill`, `decode` or `mixed`
        #[bpaf(long, argument("ROLE"))]
        role: String,
    },
}
