//! Gateways as real processes: their configuration, start, end, and what they take of the machine.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::fs::File;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::rc::Rc;

use rustix::process::{kill_process, Pid, Signal};
use serde_json::json;

use super::records::{Log, Record};
use super::{discovery, queries, sleep, World};
use crate::history::Event;
use crate::model::clients::Idempotency;
use crate::scenario::{Fleet, FolderFaultKind, KeyGroup, RestartFolder, Scenario};
use crate::{seed_of, Micros, MILLISECOND, SECOND};

/// How often a process that is to end is looked at.
const LOOK: Micros = 5 * MILLISECOND;
/// In which the new process of an upgrade must serve.
const SERVES: Micros = 6 * SECOND;
/// Between SIGTERM and the last new connection, on top of the longest hard stop.
const STILL_COMING: Micros = 700 * MILLISECOND;

/// Where a gateway finds the others.
#[derive(Clone, Debug)]
pub struct Places {
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub counter: Option<SocketAddr>,
    pub mesh: Option<MeshPlaces>,
}

/// Where it speaks with other gateways, what it tells them of that, and where it finds some of them.
#[derive(Clone, Debug)]
pub struct MeshPlaces {
    pub listen: SocketAddr,
    pub told: SocketAddr,
    pub seeds: Vec<SocketAddr>,
}

/// What is run as a gateway, and how it is called.
#[derive(Clone, Debug)]
pub struct Program {
    pub path: PathBuf,
    pub arguments: Vec<String>,
}

pub struct Host {
    world: Rc<World>,
    pub number: u32,
    program: Program,
    folder: PathBuf,
    pub places: Places,
    child: RefCell<Option<Child>>,
    /// The process that an upgrade is to replace, until it has ended.
    old: RefCell<Option<Child>>,
    /// The listening socket, where it is passed on from one process to the next.
    passed: Option<TcpListener>,
    /// Where operators call the newest process, if any do.
    operator: Cell<Option<SocketAddr>>,
    /// How far its shared clock is ahead, in microseconds.
    pub ahead: Cell<i64>,
    /// What is wrong with its folder.
    folder_ill: Cell<Option<(FolderFaultKind, f64)>>,
    /// What its own file says beside that, the same at each start.
    jobs: String,
    /// What it has logged, and not been read yet, of each process.
    logs: RefCell<Vec<Log>>,
    pub starts: Cell<u32>,
    /// When it started last.
    pub started: Cell<Micros>,
    /// It has been told to end.
    ends: Cell<bool>,
    /// A fault of its processes is played.
    occupied: Cell<bool>,
    /// Ended without being told to.
    pub crashes: Cell<u32>,
    /// Time on a core of the process of each start, and the most memory of any, in KiB.
    cpu: RefCell<BTreeMap<u32, Micros>>,
    peak: Cell<u64>,
}

impl Host {
    pub fn new(
        world: &Rc<World>,
        number: u32,
        program: &Program,
        folder: &Path,
        places: Places,
        passed: Option<TcpListener>,
        jobs: String,
    ) -> Rc<Host> {
        Rc::new(Host {
            world: world.clone(),
            number,
            program: program.clone(),
            folder: folder.into(),
            places,
            child: RefCell::default(),
            old: RefCell::default(),
            passed,
            operator: Cell::new(None),
            ahead: Cell::new(0),
            folder_ill: Cell::new(None),
            jobs,
            logs: RefCell::default(),
            starts: Cell::new(0),
            started: Cell::new(0),
            ends: Cell::new(false),
            occupied: Cell::new(false),
            crashes: Cell::new(0),
            cpu: RefCell::default(),
            peak: Cell::new(0),
        })
    }

    /// Starts it with what discovery knows at this moment, as a platform would that keeps it by.
    pub async fn start(&self, scenario: &Scenario, list: &discovery::Host) -> io::Result<()> {
        self.world.happens(Event::Started { gateway: self.number });
        self.started.set(self.world.now());
        self.ends.set(false);
        let child = self.spawn(scenario, list).await?;
        self.child.replace(Some(child));
        Ok(())
    }

    /// Another process of this gateway, beside the one there is. A machine may take a tenth of a second to make one, which the
    /// load does not wait for.
    async fn spawn(&self, scenario: &Scenario, list: &discovery::Host) -> io::Result<Child> {
        let starts = self.starts.get() + 1;
        self.starts.set(starts);
        let config = config(
            scenario,
            self.number,
            &self.places,
            list,
            seed_of(scenario.seed, "gateway") + u64::from(starts),
        );
        let file = self.folder.join(format!("gateway-{}.json", self.number));
        std::fs::write(&file, serde_json::to_string_pretty(&config)?)?;
        let log = self.folder.join(format!("gateway-{}-{starts}.log", self.number));
        let mut command = match &self.passed {
            None => Command::new(&self.program.path),
            Some(_) => {
                // The shell makes its standard input descriptor 4, then becomes the gateway.
                let mut shell = Command::new("sh");
                shell.args(["-c", "exec \"$0\" \"$@\" 4<&0 0</dev/null"]).arg(&self.program.path);
                shell.env("BALANCER_PASSED_SOCKET", "4");
                shell
            }
        };
        command.args(&self.program.arguments);
        if scenario.needs_config_file() {
            command.arg("--config").arg(self.own_file()?);
        }
        if scenario.needs_operator_address() {
            let operator = self.world.reserve()?;
            self.operator.set(Some(operator));
            command.env("BALANCER_OPERATOR", operator.to_string());
        }
        let stdin = match &self.passed {
            None => Stdio::null(),
            Some(listener) => OwnedFd::from(listener.try_clone()?).into(),
        };
        let own = self.own_folder();
        std::fs::create_dir_all(&own)?;
        command
            .env("BALANCER_CONFIG", &file)
            .env("TMPDIR", own)
            .stdin(stdin)
            .stdout(Stdio::null())
            .stderr(File::create(&log)?);
        if scenario.needs_config_file() {
            self.logs.borrow_mut().push(Log::open(&log, self.world.now())?);
        }
        let (to, spawned) = async_channel::bounded(1);
        std::thread::spawn(move || {
            let _ = to.send_blocking(command.spawn());
        });
        spawned.recv().await.map_err(io::Error::other)?
    }

    /// What the platform's file has no words for.
    fn own_file(&self) -> io::Result<PathBuf> {
        let file = self.folder.join(format!("gateway-{}.toml", self.number));
        let mut text = String::new();
        if let Some(MeshPlaces { listen, told, seeds }) = &self.places.mesh {
            let seeds: Vec<_> = seeds.iter().map(SocketAddr::to_string).collect();
            text += &format!("[mesh]\nlisten = \"{listen}\"\nadvertise = \"{told}\"\nseeds = {seeds:?}\n");
            text += &format!("keys = [\"{}\"]\n", queries::KEY);
        }
        // Last come the trials, which the jobs have some of.
        text += &self.jobs.replace(STORE, &self.own_folder().join("store").display().to_string());
        if !self.jobs.contains("[trials]") {
            text += "[trials]\n";
        }
        let ahead = self.ahead.get();
        if ahead != 0 {
            let way = if ahead > 0 { "ahead" } else { "behind" };
            text += &format!("clock-{way} = \"{}us\"\n", ahead.unsigned_abs());
        }
        text += &match self.folder_ill.get() {
            None => String::new(),
            Some((FolderFaultKind::Full, _)) => "folder-quota = \"0B\"\n".into(),
            Some((FolderFaultKind::Slow, amount)) => format!("folder-slow = \"{}ms\"\n", amount as u64),
            Some((FolderFaultKind::Fail, _)) => "folder-fails = true\n".into(),
        };
        std::fs::write(&file, text)?;
        Ok(file)
    }

    /// What it keeps from one start to the next.
    pub fn own_folder(&self) -> PathBuf {
        self.folder.join(format!("gateway-{}.d", self.number))
    }

    fn kept_folder(&self) -> PathBuf {
        self.folder.join(format!("gateway-{}.kept", self.number))
    }

    /// Keeps its folder by, as it is now.
    pub fn keep_folder(&self) -> io::Result<()> {
        copy_folder(&self.own_folder(), &self.kept_folder())
    }

    /// Makes its folder, before it starts again, what the scenario says.
    pub fn mend_folder(&self, folder: RestartFolder) -> io::Result<()> {
        match folder {
            RestartFolder::Kept => Ok(()),
            RestartFolder::Lost => std::fs::remove_dir_all(self.own_folder()),
            RestartFolder::Earlier => copy_folder(&self.kept_folder(), &self.own_folder()),
        }
    }

    /// Sets its shared clock off while it runs.
    pub fn set_clock(&self, ahead: i64) -> io::Result<()> {
        self.ahead.set(ahead);
        self.own_file()?;
        self.signal(Signal::HUP);
        self.world.happens(Event::ClockStepped { gateway: self.number, ahead });
        Ok(())
    }

    /// Makes the folder of its store ill, or well again, while it runs.
    pub fn set_folder(&self, ill: Option<(FolderFaultKind, f64)>) -> io::Result<()> {
        self.folder_ill.set(ill);
        self.own_file()?;
        self.signal(Signal::HUP);
        Ok(())
    }

    /// What its processes have logged since the last look.
    pub fn records(&self) -> Vec<Record> {
        self.logs.borrow_mut().iter_mut().flat_map(|log| log.more(&self.world)).collect()
    }

    /// Replaces its process: another one beside it, and SIGTERM to the old one as soon as the new one serves.
    pub async fn upgrade(
        &self,
        scenario: &Scenario,
        list: &discovery::Host,
        longest: Micros,
    ) -> io::Result<()> {
        let fresh = self.spawn(scenario, list).await?;
        let old = self.child.replace(Some(fresh));
        let old_pid = old.as_ref().and_then(|child| Pid::from_raw(child.id() as i32));
        self.old.replace(old);
        let until = self.world.now() + SERVES;
        loop {
            let asked = match self.operator.get() {
                Some(operator) => queries::operate(operator, "GET", "/admin/health", "").await.ok(),
                None => None,
            };
            if asked == Some(200) {
                break;
            }
            if self.world.now() > until {
                return Err(io::Error::other("the new process does not serve"));
            }
            sleep(LOOK).await;
        }
        if let Some(pid) = old_pid {
            let _ = kill_process(pid, Signal::TERM);
        }
        let until = self.world.now() + longest + STILL_COMING;
        let ended =
            |old: &mut Option<Child>| old.as_mut().is_none_or(|child| !matches!(child.try_wait(), Ok(None)));
        while !ended(&mut self.old.borrow_mut()) {
            if self.world.now() >= until {
                if let Some(child) = self.old.borrow_mut().as_mut() {
                    let _ = child.kill();
                    let _ = child.wait();
                }
                break;
            }
            sleep(LOOK).await;
        }
        self.old.take();
        Ok(())
    }

    /// Takes a server out of use as its operators do, or calls it back; whether the gateway said yes.
    pub async fn cordon(&self, name: &str, out: bool) -> bool {
        let Some(operator) = self.operator.get().filter(|_| self.runs()) else { return false };
        let path = if out { "/admin/cordon" } else { "/admin/uncordon" };
        let yes = matches!(queries::operate(operator, "POST", path, name).await, Ok(200));
        if yes {
            self.world.happens(Event::Cordoned { gateway: self.number, name: name.into(), out });
        }
        yes
    }

    fn pid(&self) -> Option<Pid> {
        self.child.borrow().as_ref().and_then(|child| Pid::from_raw(child.id() as i32))
    }

    fn signal(&self, signal: Signal) {
        if let Some(pid) = self.pid() {
            let _ = kill_process(pid, signal);
        }
    }

    pub fn pause(&self, on: bool) {
        let gateway = self.number;
        // The pause is written down before it begins, and after it has ended.
        if on {
            self.world.happens(Event::Paused { gateway });
            self.signal(Signal::STOP);
        } else {
            self.signal(Signal::CONT);
            self.world.happens(Event::Resumed { gateway });
        }
    }

    /// Ends it at once.
    pub fn kill(&self) {
        self.look();
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Has it read its configuration again.
    pub fn reload(&self) {
        self.signal(Signal::HUP);
    }

    /// Asks it to end once more.
    pub fn terminate_again(&self) {
        self.signal(Signal::TERM);
    }

    /// Takes the gateway for a fault of its processes, so that no two of them are played at once; none where one is.
    pub fn occupy(&self) -> Option<Occupied<'_>> {
        (!self.occupied.replace(true)).then(|| Occupied(self))
    }

    /// Asks it to end, and waits until it has, or for as long as the platform would. What a kill then finds unanswered is
    /// `excused`, or lost.
    pub async fn end(&self, longest: Micros, excused: bool) {
        self.ends.set(true);
        self.world.happens(Event::ShutdownRequested { gateway: self.number });
        self.signal(Signal::TERM);
        let until = self.world.now() + longest + STILL_COMING;
        while self.world.now() < until && self.runs() {
            self.look();
            sleep(LOOK).await;
        }
        if self.runs() && excused {
            self.world.happens(Event::Killed { gateway: self.number });
        }
        self.kill();
    }

    /// Whether its process is there, paused or not.
    pub fn runs(&self) -> bool {
        self.child.borrow_mut().as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)))
    }

    /// Notices a process that ended by itself.
    pub fn watch(&self) {
        if !self.ends.get() && self.child.borrow().is_some() && !self.runs() {
            self.child.take();
            self.crashes.set(self.crashes.get() + 1);
            self.world.happens(Event::Crashed { gateway: self.number });
        }
    }

    /// Looks at what the process has taken so far, as its figures go with it.
    pub fn look(&self) {
        let Some(pid) = self.pid() else { return };
        let pid = pid.as_raw_nonzero();
        if let Ok(status) = std::fs::read_to_string(format!("/proc/{pid}/status")) {
            let peak = status.lines().find_map(|line| line.strip_prefix("VmHWM:"));
            let peak = peak.and_then(|text| text.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0);
            self.peak.set(self.peak.get().max(peak));
        }
        self.cpu.borrow_mut().insert(self.starts.get(), cpu_of(pid));
    }

    /// Time on a core in microseconds, and the most memory in KiB, of all its processes so far.
    pub fn taken(&self) -> (Micros, u64) {
        self.look();
        (self.cpu.borrow().values().sum(), self.peak.get())
    }
}

/// Time that a process has had of the cores, all its threads together.
pub fn cpu_of(pid: std::num::NonZeroI32) -> Micros {
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).into_iter().flatten().flatten();
    let exact = threads.filter_map(|thread| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    });
    let exact = exact.sum::<u64>() / 1000;
    let ticks = || {
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // A hundredth of a second each, on all usual systems.
        Some(ticks * 10 * MILLISECOND)
    };
    if exact > 0 {
        exact
    } else {
        ticks().unwrap_or(0)
    }
}

/// The right to play a fault of a gateway's processes.
pub struct Occupied<'h>(&'h Host);

impl Drop for Occupied<'_> {
    fn drop(&mut self) {
        self.0.occupied.set(false);
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        // One that is paused would not end by any other signal.
        self.kill();
        if let Some(mut old) = self.old.take() {
            let _ = old.kill();
            let _ = old.wait();
        }
    }
}

/// Makes one folder what another is; an absent one is an empty one.
fn copy_folder(from: &Path, to: &Path) -> io::Result<()> {
    let _ = std::fs::remove_dir_all(to);
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from).into_iter().flatten() {
        let entry = entry?;
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &to.join(entry.file_name()))?;
        } else {
            std::fs::copy(entry.path(), to.join(entry.file_name()))?;
        }
    }
    Ok(())
}

/// The log's section of a gateway's own file: each event so often a second at the most, as the history keeps all of them.
fn log_section(debug: bool) -> &'static str {
    if debug {
        "[log]\nform = \"json\"\nlevel = \"debug\"\nmost-a-second = 100000\n"
    } else {
        "[log]\nform = \"json\"\nmost-a-second = 1000\n"
    }
}

/// What a gateway's own file says of its log, the fleet's jobs and its clock, with a word for the folder of the store.
pub fn jobs(scenario: &Scenario, number: u32, effects: Option<SocketAddr>) -> String {
    let mut text = String::from(log_section(scenario.fleet.debug_log));
    if let Some(subsets) = scenario.fleet.subsets.as_ref().filter(|subsets| subsets.on) {
        text += &format!("[subsets]\nleast = {}\n", subsets.least);
        if subsets.zones {
            text += &format!("zone = \"zone-{}\"\n", number % scenario.fleet.zones);
        }
    }
    if scenario.fleet.signals {
        text += "[signals]\n";
        if scenario.fleet.zones > 1 {
            text += &format!("zone = \"zone-{}\"\n", number % scenario.fleet.zones);
        }
    }
    if let Some((owners, effects)) = scenario.fleet.owners.as_ref().zip(effects) {
        let voters: Vec<_> = owners.voters.iter().map(|voter| format!("gateway-{voter}")).collect();
        text += &format!("[store]\nfolder = \"{STORE}\"\n[owner]\nvoters = {voters:?}\n");
        let (lease, drift, list) = (owners.lease.0, owners.drift, owners.list);
        text += &format!("lease = \"{lease}us\"\ndrift = {drift:?}\nlist = {list}\n");
        text += &format!("[trials]\njobs = {:?}\neffects = \"{effects}\"\n", owners.jobs);
        text += &format!("effect-every = \"{}us\"\n", owners.every.0);
        text += &format!("effect-pause = \"{}us\"\n", owners.pause.0);
    }
    if let Some(pace) = scenario.fleet.paces.get(number as usize) {
        if !text.contains("[trials]") {
            text += "[trials]\n";
        }
        text += &format!("clock-pace = {pace:?}\n");
    }
    text
}

/// Stands for the folder of the store.
const STORE: &str = "@store@";

/// By whose number it goes, where several have one name by mistake.
fn named_as(fleet: &Fleet, number: u32) -> u32 {
    let first = fleet.same_name.first().filter(|_| fleet.same_name.contains(&number));
    first.copied().unwrap_or(number)
}

/// The platform's form of a gateway's configuration.
pub fn config(
    scenario: &Scenario,
    number: u32,
    places: &Places,
    list: &discovery::Host,
    seed: u64,
) -> serde_json::Value {
    let ms = |time: Micros| time as f64 / MILLISECOND as f64;
    let lane = |lane: &crate::model::clients::RequestClass| {
        let group = match scenario.lanes.iter().find(|own| own.name == lane.name).map(|own| own.group) {
            Some(KeyGroup::Zone) => "zone",
            Some(KeyGroup::Cell) => "cell",
            _ => "all",
        };
        json!({
            "name": lane.name,
            "effect": match lane.idempotency {
                Idempotency::Idempotent => "read_like",
                Idempotency::Keyed => "idempotency_key",
                Idempotency::NonIdempotent => "non_idempotent",
            },
            "group": group,
            "memorySpanMs": ms(lane.retention),
            "onTimeMs": ms(lane.latency_objective),
            "giveUpMs": ms(lane.deadline),
            "value": lane.priority_weight,
        })
    };
    let plan = |plan: &crate::scenario::Plan| {
        let ceiling = plan.ceiling.as_ref();
        json!({
            "name": plan.name,
            "unitsPerS": plan.rate,
            "burst": plan.burst,
            "valueFactor": plan.price,
            "excessCost": plan.over_cost,
            "excessWorth": 0.0,
            "capRate": ceiling.map_or(0.0, |ceiling| ceiling.rate),
            "ceilingBurst": ceiling.map_or(0.0, |ceiling| ceiling.burst),
        })
    };
    let fleet = &scenario.fleet;
    let names = |count: u32, letter: &str| (0..count).map(|at| format!("{letter}{at}")).collect::<Vec<_>>();
    json!({
        "name": format!("gateway-{}", named_as(fleet, number)),
        "listen": places.listen.to_string(),
        "discovery": places.discovery.to_string(),
        "counter": places.counter.map(|counter| counter.to_string()),
        "seed": format!("{seed:016x}"),
        "limits": { "cores": 1.0, "memory_mb": fleet.memory_mb, "sockets": fleet.sockets },
        "known": list.known(number),
        "settings": {
            "balancers": fleet.gateways,
            "me": number,
            "discovery": if fleet.on_request.is_some() { "on_request" } else { "pushed" },
            "zones": names(fleet.zones, "zone-"),
            "kinds": ["box"],
            "lanes": scenario.request_classes().iter().map(lane).collect::<Vec<_>>(),
            "tiersOfService": scenario.plans.iter().map(plan).collect::<Vec<_>>(),
            "ceilings": {
                "cancel": fleet.cancels,
                "connIdleMs": ms(fleet.idle.0),
                "dialTimeoutMs": 250,
                "retryAfter": fleet.longest_wait.0 > 0,
                "maxRetryAfterMs": ms(fleet.longest_wait.0),
                "sendCap": fleet.trips,
            },
            "rules": {
                "coldFrom": fleet.cold_share,
                "warmUpMs": ms(fleet.warm_up.0),
                "fallMultiple": fleet.fall_multiple,
                "fallMs": ms(fleet.fall_window.0),
                "stopSendingWithinMs": ms(fleet.grace.0),
                "askWithinMs": fleet.on_request.as_ref().map_or(0.0, |own| ms(own.within.0)),
            },
            "specifics": {
                "sharedCounter": places.counter.is_some(),
                "countWaitMs": scenario.counter.as_ref().map_or(50.0, |counter| ms(counter.wait.0)),
                "mostUnits": scenario.max_request_units(),
                "settles": fleet.settles,
            },
            "telemetry": { "how": if fleet.reports { "answers" } else { "none" },
                "names": if fleet.reports { vec!["busy_reqs", "pending", "cpu_share"] } else { vec![] } },
        }
    })
}
