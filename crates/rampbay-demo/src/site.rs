//! Starts and stops the processes of a site.

use std::{
    collections::HashMap,
    io,
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use rampbay_core::knobs::Knobs;
use rampbay_entry::{
    entry::{Entry, EntryError},
    settings::EntrySettings,
};
use rampbay_node::serve::HttpServer;
use rampbay_platform::{
    boxes::{BoxRow, Role},
    log::{Log, LogError},
};
use rampbay_side::{
    settings::SideSettings,
    side::{Side, SideError},
};
use rampbay_standin::{
    boxes::BoxesModel,
    http::{Platform, serve_platform, serve_upstream},
    log::LogModel,
    settings::{SLOTS, Site},
    upstream::UpstreamModel,
    workers::WorkersModel,
};
use rampbay_table::record::{Edit, Record};

/// Options of a site.
#[derive(Debug, Clone)]
pub struct SiteOptions {
    /// The user's site whose sizes are taken.
    pub site: Site,
    /// Number of entries.
    pub entries: usize,
    /// Number of upstreams, each with its side process.
    pub upstreams: usize,
    /// Slots of each upstream.
    pub slots: u32,
    /// Lag of the list of boxes.
    pub lag: Duration,
}

impl SiteOptions {
    /// Returns the default sizes with three entries.
    #[must_use]
    pub fn new(site: Site) -> Self {
        Self {
            site,
            entries: 3,
            upstreams: rampbay_standin::settings::UPSTREAMS,
            slots: SLOTS,
            lag: Duration::from_millis(1_000),
        }
    }

    /// Sets the number of entries.
    #[must_use]
    pub const fn entries(mut self, entries: usize) -> Self {
        self.entries = entries;
        self
    }

    /// Sets the number of upstreams.
    #[must_use]
    pub const fn upstreams(mut self, upstreams: usize) -> Self {
        self.upstreams = upstreams;
        self
    }

    /// Sets the lag of the list of boxes.
    #[must_use]
    pub const fn lag(mut self, lag: Duration) -> Self {
        self.lag = lag;
        self
    }
}

/// Why a site can't start.
#[derive(Debug)]
pub enum SiteError {
    /// A stand-in can't listen.
    Listen(io::Error),
    /// An entry can't start.
    Entry(EntryError),
    /// A side process can't start.
    Side(SideError),
    /// The table can't be published.
    Log(LogError),
    /// The entries aren't ready in time.
    NotReady,
}

impl std::fmt::Display for SiteError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            SiteError::Listen(e) => write!(f, "stand-in can't listen: {e}"),
            SiteError::Entry(e) => write!(f, "{e}"),
            SiteError::Side(e) => write!(f, "{e}"),
            SiteError::Log(e) => write!(f, "table can't be published: {e}"),
            SiteError::NotReady => f.write_str("entries aren't ready in time"),
        }
    }
}

impl std::error::Error for SiteError {}

impl From<io::Error> for SiteError {
    fn from(e: io::Error) -> Self {
        SiteError::Listen(e)
    }
}

impl From<EntryError> for SiteError {
    fn from(e: EntryError) -> Self {
        SiteError::Entry(e)
    }
}

impl From<SideError> for SiteError {
    fn from(e: SideError) -> Self {
        SiteError::Side(e)
    }
}

impl From<LogError> for SiteError {
    fn from(e: LogError) -> Self {
        SiteError::Log(e)
    }
}

/// One upstream with its side process.
pub struct Upstream {
    /// Its name; the side process has the same.
    pub id: String,
    /// The stand-in.
    pub model: Arc<UpstreamModel>,
    /// Where the stand-in listens.
    pub addr: SocketAddr,
    /// The side process; `None` while it is down.
    pub side: Option<Side>,
    _server: HttpServer,
}

/// A running site.
pub struct RunningSite {
    /// The platform's stand-ins.
    pub platform: Platform,
    /// Where the platform's stand-ins listen.
    pub platform_addr: SocketAddr,
    /// The upstreams.
    pub upstreams: Vec<Upstream>,
    /// The entries; `None` for one that is down.
    pub entries: Vec<Option<Entry>>,
    options: SiteOptions,
    _platform_server: HttpServer,
}

const ANY_PORT: SocketAddr =
    SocketAddr::new(std::net::IpAddr::V4(std::net::Ipv4Addr::LOCALHOST), 0);
const READY_TIMEOUT: Duration = Duration::from_secs(20);

impl RunningSite {
    /// Starts a site and waits until its entries accept requests.
    ///
    /// # Errors
    ///
    /// Returns an error if a process can't start.
    pub async fn start(options: SiteOptions) -> Result<Self, SiteError> {
        let platform = Platform {
            log: Arc::new(LogModel::default()),
            boxes: Arc::new(BoxesModel::new(options.lag)),
            workers: Arc::new(WorkersModel::new(options.site.workers())),
        };
        let server = serve_platform(ANY_PORT, platform.clone()).await?;
        let mut site = Self {
            platform_addr: server.addr(),
            platform,
            upstreams: Vec::new(),
            entries: Vec::new(),
            options,
            _platform_server: server,
        };
        site.publish_table().await?;
        for at in 0..site.options.upstreams {
            site.add_upstream(at).await?;
        }
        for at in 0..site.options.entries {
            site.entries.push(None);
            site.start_entry(at).await?;
        }
        site.wait_until_ready().await?;
        Ok(site)
    }

    async fn publish_table(&self) -> Result<(), SiteError> {
        let mut edit = Edit::new("initial", "demo");
        for (workspace, knobs) in &self.options.site.workspaces {
            edit = edit.set(workspace.clone(), 0, knobs.clone());
        }
        self.platform.log.append("table", Record::Edit(edit).encode()).await?;
        Ok(())
    }

    async fn add_upstream(&mut self, at: usize) -> Result<(), SiteError> {
        let model = Arc::new(UpstreamModel::default());
        let server = serve_upstream(ANY_PORT, model.clone()).await?;
        let id = format!("upstream-{at}");
        let upstream = Upstream { id, model, addr: server.addr(), side: None, _server: server };
        self.upstreams.push(upstream);
        self.start_side(at).await
    }

    /// Starts the side process of an upstream, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't start.
    pub async fn start_side(&mut self, at: usize) -> Result<(), SiteError> {
        let domain = self.options.site.domain(at);
        let upstream = &mut self.upstreams[at];
        let settings = SideSettings::new(upstream.id.as_str(), domain, upstream.addr)
            .slots(self.options.slots);
        let side = Side::start(settings).await?;
        self.platform.boxes.put(BoxRow {
            id: upstream.id.as_str().into(),
            role: Role::Side,
            mailbox: side.mailbox(),
            failure_domain: domain.to_owned(),
            leaving: false,
        });
        upstream.side = Some(side);
        Ok(())
    }

    /// Kills the side process of an upstream; the platform's list shows it until the lag is over.
    pub fn kill_side(&mut self, at: usize) {
        let upstream = &mut self.upstreams[at];
        if let Some(side) = upstream.side.take() {
            side.kill();
            self.platform.boxes.remove(&upstream.id);
        }
    }

    /// Starts an entry, or starts it again.
    ///
    /// # Errors
    ///
    /// Returns an error if it can't start.
    pub async fn start_entry(&mut self, at: usize) -> Result<(), SiteError> {
        let domain = self.options.site.domain(at);
        let id = format!("entry-{at}");
        let settings = EntrySettings::new(id.as_str(), domain, self.platform_addr);
        let entry = Entry::start(settings).await?;
        self.platform.boxes.put(BoxRow {
            id: id.into(),
            role: Role::Entry,
            mailbox: entry.mailbox(),
            failure_domain: domain.to_owned(),
            leaving: false,
        });
        self.entries[at] = Some(entry);
        Ok(())
    }

    /// Kills an entry; the platform's list shows it until the lag is over.
    pub fn kill_entry(&mut self, at: usize) {
        if let Some(entry) = self.entries[at].take() {
            self.platform.boxes.remove(entry.id());
            entry.kill();
        }
    }

    /// Waits until every entry accepts requests and knows every upstream that runs.
    ///
    /// # Errors
    ///
    /// Returns an error if that takes too long.
    pub async fn wait_until_ready(&self) -> Result<(), SiteError> {
        let started = Instant::now();
        let running = self.upstreams.iter().filter(|upstream| upstream.side.is_some()).count();
        while started.elapsed() < READY_TIMEOUT {
            if self.is_ready(running).await {
                return Ok(());
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        Err(SiteError::NotReady)
    }

    async fn is_ready(&self, running: usize) -> bool {
        for entry in self.entries.iter().flatten() {
            let parts = entry.parts();
            let alive = parts.dispatching.view().await;
            let reachable =
                alive.iter().filter(|row| row.slots > 0 && row.silent_ms < 1_000).count();
            let no_fleet = parts.shared.largest.read().is_ok_and(|largest| largest.is_empty());
            let wanted = running.min(parts.shared.settings.limits.upstreams);
            if parts.shared.table().version() == 0 || reachable < wanted || no_fleet {
                return false;
            }
        }
        true
    }

    /// Returns the callers' addresses of the entries that run.
    #[must_use]
    pub fn callers(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(Entry::callers).collect()
    }

    /// Returns the operators' addresses of the entries that run.
    #[must_use]
    pub fn operators(&self) -> Vec<SocketAddr> {
        self.entries.iter().flatten().map(Entry::operators).collect()
    }

    /// Returns how often each job was started, over all upstreams, by the stand-ins' records.
    #[must_use]
    pub fn starts(&self) -> HashMap<String, u32> {
        let mut starts = HashMap::new();
        for upstream in &self.upstreams {
            for (job, count) in upstream.model.record().starts {
                *starts.entry(job).or_default() += count;
            }
        }
        starts
    }

    /// Returns the workspaces and their knobs.
    #[must_use]
    pub fn workspaces(&self) -> &[(rampbay_core::ids::WorkspaceId, Knobs)] {
        &self.options.site.workspaces
    }

    /// Returns the slots of all upstreams.
    #[must_use]
    pub fn slots(&self) -> u32 {
        self.options.slots * u32::try_from(self.upstreams.len()).unwrap_or(0)
    }
}
