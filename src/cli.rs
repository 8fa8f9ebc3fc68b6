//! Definition of the command line. The doc comments are the texts of `--help`.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

/// Chervilspool serves language models on a fixed fleet of engines
#[derive(Debug, Clone, Bpaf)]
#[bpaf(
    options,
    version,
    footer(
        "Exit codes: 0 success, 1 failure, 2 usage error, 3 conflict with another change or with \
         an item in use, 4 not found, 5 entry or table unavailable."
    )
)]
pub enum Cli {
    /// Run an entry, the daemon that routes requests of callers to targets
    #[bpaf(
        command,
        footer("Example: chervilspool entry --settings /etc/chervilspool/entry.jsonc")
    )]
    Entry(#[bpaf(external(settings_file))] PathBuf),
    /// Run an agent, the daemon beside a target
    #[bpaf(
        command,
        footer("Example: chervilspool agent --settings /etc/chervilspool/agent.jsonc")
    )]
    Agent(#[bpaf(external(settings_file))] PathBuf),
    /// Run a gateway, the daemon of a front host on the users' platform
    #[bpaf(command, footer("Example: chervilspool gateway --settings local.toml"))]
    Gateway(#[bpaf(external(gateway_settings_file))] PathBuf),
    /// Check the settings of a daemon without starting it; TOML files are settings of a gateway
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
    /// Create services, assign profiles to them and list them
    #[bpaf(
        command,
        footer(
            "Example: chervilspool service set mesa-refugios --kind model --profile radio-desk"
        )
    )]
    Service(#[bpaf(external(service_command))] ServiceCommand),
    /// List engines and send orders to them
    #[bpaf(
        command,
        footer("Example: chervilspool engine drain bitacora-03 --reason 'disk replaced'")
    )]
    Engine(#[bpaf(external(engine_command))] EngineCommand),
    /// Show targets, entries and the revisions in force
    #[bpaf(command, footer("Example: chervilspool status --json"))]
    Status(#[bpaf(external(entry_options))] EntryOptions),
    /// Explain what happened to a request, or why an engine gets the requests that it gets
    #[bpaf(
        command,
        footer("Example: chervilspool explain --log gateways.log 4dbe4390105c05c3")
    )]
    Explain {
        #[bpaf(external(entry_options), optional)]
        entry: Option<EntryOptions>,
        /// Read log files of gateways instead of querying an entry; `-` is standard input; may be
        /// repeated
        #[bpaf(long, argument("FILE"))]
        log: Vec<PathBuf>,
        /// Request id (`x-request-id` header of the response) or name of an engine
        #[bpaf(positional("REQUEST|ENGINE"))]
        subject: String,
    },
    /// Show the audit trail of changes, newest first
    #[bpaf(
        command,
        footer("Example: chervilspool audit --limit 20 --before 1200")
    )]
    Audit {
        #[bpaf(external(entry_options))]
        entry: EntryOptions,
        /// Show only changes with a lower revision
        #[bpaf(argument("REVISION"))]
        before: Option<u64>,
        /// Show at most this many changes
        #[bpaf(argument("NUMBER"), fallback(20), display_fallback)]
        limit: usize,
    },
}

fn settings_file() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings")
        .help("Settings file, in JSON with comments")
        .argument("FILE")
}

fn gateway_settings_file() -> impl bpaf::Parser<PathBuf> {
    bpaf::long("settings")
        .env(platform::SETTINGS_FILE_VARIABLE)
        .help("Settings file of the users' platform, in TOML")
        .argument("FILE")
}

/// Connection to an entry.
#[derive(Debug, Clone, Bpaf)]
pub struct EntryOptions {
    /// Address of the entry's operators' port
    #[bpaf(long, env("CHERVILSPOOL_ENTRY"), argument("ADDR"))]
    pub entry: SocketAddr,
    /// File with the operator's token
    #[bpaf(long, env("CHERVILSPOOL_TOKEN_FILE"), argument("FILE"))]
    pub token_file: PathBuf,
    /// Print the output as JSON
    #[bpaf(long)]
    pub json: bool,
}

/// Options of a change.
#[derive(Debug, Clone, Bpaf)]
pub struct ChangeOptions {
    #[bpaf(external)]
    pub entry_options: EntryOptions,
    /// Fail if the item is not at this revision
    #[bpaf(long, argument("REVISION"))]
    pub if_revision: Option<u64>,
    /// Validate the change without making it
    #[bpaf(long)]
    pub dry_run: bool,
    /// Reason of the change, for the audit trail
    #[bpaf(long, argument("TEXT"), fallback(String::new()))]
    pub reason: String,
}

/// Fields of a profile.
#[derive(Debug, Clone, Bpaf)]
pub struct ProfileValues {
    /// File with the fields of the profile, in JSON with comments
    #[bpaf(long, argument("FILE"))]
    pub file: Option<PathBuf>,
    /// Value of one field, which takes precedence over the file; may be repeated
    #[bpaf(long, argument("FIELD=VALUE"))]
    pub set: Vec<String>,
}

/// Commands about profiles.
#[derive(Debug, Clone, Bpaf)]
pub enum ProfileCommand {
    /// Create a profile; fields that are not given have default values
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
    /// Change fields of a profile; the others keep their values
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
    /// Show a profile, its revision, and the entries where this revision is not in force yet
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
    /// Create a service, or assign another profile to it
    #[bpaf(
        command,
        footer(
            "Example: chervilspool service set mesa-refugios --kind model --profile radio-desk"
        )
    )]
    Set {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// `model` for engines or `plain` for plain targets; required for a new service
        #[bpaf(long, argument("KIND"))]
        kind: Option<String>,
        /// Profile for the requests of the service
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
    /// Let running requests finish and accept no new ones
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
    /// Drain, then let a new host replace this one
    #[bpaf(command, footer("Example: chervilspool engine replace bitacora-03"))]
    Replace {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Drain, then remove the engine from the fleet permanently
    #[bpaf(command, footer("Example: chervilspool engine withdraw bitacora-03"))]
    Withdraw {
        #[bpaf(external(change_options))]
        change: ChangeOptions,
        /// Name of the engine
        #[bpaf(positional("ENGINE"))]
        name: String,
    },
    /// Accept requests again after a drain
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

/// Content of the order.
#[derive(Debug, Clone, Bpaf)]
pub enum OrderContent {
    /// Load a model in place of the loaded one
    LoadModel {
        /// Model to load
        #[bpaf(long, argument("MODEL"))]
        model: String,
        /// Version of the model's weights
        #[bpaf(long, argument("VERSION"))]
        model_version: String,
    },
    /// Load an adapter
    LoadAdapter {
        /// Adapter to load in addition to the loaded ones
        #[bpaf(long, argument("ADAPTER"))]
        load_adapter: String,
    },
    /// Unload an adapter
    UnloadAdapter {
        /// Adapter to unload
        #[bpaf(long, argument("ADAPTER"))]
        unload_adapter: String,
    },
    /// Change the role
    ChangeRole {
        /// New role: `prefill`, `decode` or `mixed`
        #[bpaf(long, argument("ROLE"))]
        role: String,
    },
}
