//! A small site on loopback for the cases of this review: the project's own processes with the
//! commands of the deploy file, and stand-ins for runners, the operator and clients, written from
//! the users' pages. Only the standard library is used.

#![allow(dead_code, reason = "no case uses all of it")]

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{self, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// `heartbeatMs` of the site.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Time limit of one call of a runner or of the operator.
const CALL_LIMIT: Duration = Duration::from_secs(1);

/// The record of a run: one line for each thing that was sent, answered or run.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &str) -> io::Result<Self> {
        Ok(Self {
            started: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    pub fn note(&self, line: &str) {
        let at = self.started.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        let _ = writeln!(file, "{at:8.3} {line}");
    }
}

/// The machines of the site `andrade-fisio`: five of the core, seven fronts, three zones.
pub const CONTROLLERS: [u8; 5] = [1, 2, 3, 4, 5];
pub const ROUTERS: [u8; 7] = [101, 102, 103, 104, 105, 106, 107];
/// Controllers that the settings name at the first start.
const SEEDS: [u8; 3] = [1, 2, 3];

/// The zone of a machine.
pub fn zone(number: u8) -> &'static str {
    match number {
        1 | 2 | 101..=103 => "quito-centro",
        3 | 4 | 104 | 105 => "cumbaya",
        _ => "ibarra",
    }
}

/// The processes of the site and where they stand.
pub struct Site {
    network: (u8, u8),
    first_port: u16,
    folder: PathBuf,
    children: BTreeMap<u8, Child>,
    pub record: Record,
}

impl Site {
    pub fn new(record: Record) -> io::Result<Self> {
        let process = std::process::id();
        let folder = std::env::temp_dir().join(format!("courseshunt-review-{process}"));
        std::fs::create_dir_all(&folder)?;
        let network = ((process % 200) as u8 + 20, (process / 200 % 250) as u8 + 1);
        let mut site = Self {
            network,
            first_port: 0,
            folder,
            children: BTreeMap::new(),
            record,
        };
        site.first_port = site.free_ports()?;
        Ok(site)
    }

    /// The first of six ports that are free on the site's addresses, below those that the system
    /// gives to outgoing connections.
    fn free_ports(&self) -> io::Result<u16> {
        let start = 11_000 + (std::process::id() % 3_000) as u16 * 6;
        for first in (0..50).map(|turn| start + turn * 6) {
            let free = (first..first + 6).all(|port| TcpListener::bind((self.ip(1), port)).is_ok());
            if free {
                return Ok(first);
            }
        }
        Err(io::Error::other("no free ports"))
    }

    pub fn ip(&self, number: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.network.0, self.network.1, number)
    }

    fn address(&self, number: u8, port: u16) -> SocketAddr {
        SocketAddr::from((self.ip(number), self.first_port + port))
    }

    pub fn control(&self, controller: u8) -> SocketAddr {
        self.address(controller, 3)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        CONTROLLERS.iter().map(|one| self.control(*one)).collect()
    }

    pub fn front(&self, router: u8) -> SocketAddr {
        self.address(router, 4)
    }

    pub fn ready(&self, router: u8) -> SocketAddr {
        self.address(router, 5)
    }

    /// The settings of a process: the project's template with its gaps filled in.
    fn settings(&self, number: u8, bootstrap: bool) -> io::Result<String> {
        let template = std::fs::read_to_string("platform/settings/process.toml")?;
        let is_router = number > 100;
        let seeds = SEEDS.map(|one| format!("\"{}\"", self.control(one)));
        let text = |address: SocketAddr, is_served: bool| match is_served {
            true => address.to_string(),
            false => String::new(),
        };
        let fields = [
            ("{{node|json}}", format!("\"machine-{number}\"")),
            ("{{zone|json}}", format!("\"{}\"", zone(number))),
            ("{{ip|json}}", format!("\"{}\"", self.ip(number))),
            ("{{ip}}", self.ip(number).to_string()),
            ("{{portRange.0}}", self.first_port.to_string()),
            ("{{portRange.1}}", (self.first_port + 2).to_string()),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{bootstrap}}", bootstrap.to_string()),
            ("{{dataDir}}", self.data(number).display().to_string()),
            ("{{listen.front}}", text(self.front(number), is_router)),
            ("{{listen.ready}}", text(self.ready(number), is_router)),
            ("{{listen.control}}", text(self.control(number), !is_router)),
            ("{{bounds.budgetRatio|json}}", "0.2".to_owned()),
            ("{{bounds.budgetSlack|json}}", "54".to_owned()),
            ("{{bounds.budgetWindowS|json}}", "10".to_owned()),
            ("{{heartbeatMs}}", HEARTBEAT.as_millis().to_string()),
            ("{{bounds.leaseMs}}", "3000".to_owned()),
            ("{{bounds.ceilingWindowS|json}}", "5".to_owned()),
            ("{{bounds.graceS|json}}", "8".to_owned()),
        ];
        let mut filled = String::new();
        // The other lines stand for fields that these deployments do not have.
        for line in template.lines().filter(|line| !line.starts_with("{{#")) {
            filled += line;
            filled += "\n";
        }
        for (gap, value) in fields {
            filled = filled.replace(gap, &value);
        }
        match filled.contains("{{") {
            true => Err(io::Error::other("a gap of the template is not filled")),
            false => Ok(filled),
        }
    }

    fn data(&self, number: u8) -> PathBuf {
        self.folder.join(format!("data-{number}"))
    }

    /// Starts a process; `bootstrap` only when the whole system starts for the first time.
    pub fn start(&mut self, number: u8, bootstrap: bool) -> io::Result<()> {
        let path = self.folder.join(format!("{number}.toml"));
        std::fs::write(&path, self.settings(number, bootstrap)?)?;
        let log = self.folder.join(format!("{number}.log"));
        let log = File::options().create(true).append(true).open(log)?;
        let role = if number > 100 { "router" } else { "controller" };
        let child = Command::new("target/release/courseshunt-platform")
            .arg(role)
            .env("COURSESHUNT_BOOT", &path)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record
            .note(&format!("process {number} ({role}) starts"));
        self.children.insert(number, child);
        Ok(())
    }

    /// Sends SIGKILL to a process of this site and waits for its end.
    pub fn kill(&mut self, number: u8) {
        if let Some(mut child) = self.children.remove(&number) {
            let _ = child.kill();
            let _ = child.wait();
            self.record.note(&format!("process {number} is killed"));
        }
    }

    /// Sends a signal, by its name, to a process of this site.
    pub fn signal(&self, number: u8, name: &str) {
        if let Some(child) = self.children.get(&number) {
            let _ = Command::new("kill")
                .args([name, &child.id().to_string()])
                .status();
            self.record.note(&format!("process {number} gets {name}"));
        }
    }

    /// The controller that leads, as its log tells.
    pub fn leader(&self) -> Option<u8> {
        let leads = |one: u8| {
            let lines = self.log_lines(one, "\"event\":\"lead");
            lines.last().is_some_and(|line| line.contains("\"leads\""))
        };
        CONTROLLERS.into_iter().find(|one| leads(*one))
    }

    /// Whether a process ended by itself.
    pub fn has_ended(&mut self, number: u8) -> bool {
        let child = self.children.get_mut(&number);
        child.is_some_and(|child| matches!(child.try_wait(), Ok(Some(_))))
    }

    /// The lines of a process's log that contain a text.
    pub fn log_lines(&self, number: u8, text: &str) -> Vec<String> {
        let log = std::fs::read_to_string(self.folder.join(format!("{number}.log")));
        let log = log.unwrap_or_default();
        let lines = log.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }

    /// Sends a configuration to any controller until one acknowledges it.
    pub fn configure(&self, document: &str) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            for control in self.controls() {
                let answer = call(control, "POST", "/courseshunt/Config.Put", document);
                let status = answer.as_ref().map(|answer| answer.status);
                self.record
                    .note(&format!("operator: Config.Put at {control}: {status:?}"));
                if status == Some(200) {
                    return true;
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Waits until the platform's question finds a router ready.
    pub fn wait_ready(&self, router: u8) -> bool {
        let end = Instant::now() + Duration::from_secs(20);
        while Instant::now() < end {
            let answer = call(self.ready(router), "GET", "/courseshunt/ready", "");
            if answer.is_some_and(|answer| answer.status == 200) {
                self.record.note(&format!("router {router} is ready"));
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        for child in self.children.values_mut() {
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A whole answer.
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// One call on a connection of its own; `None` without a whole answer.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, CALL_LIMIT).ok()?;
    stream.set_read_timeout(Some(CALL_LIMIT)).ok()?;
    let request = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {}\r\nConnection: close\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(request.as_bytes()).ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).ok()?;
    let text = String::from_utf8_lossy(&bytes).into_owned();
    let (head, body) = text.split_once("\r\n\r\n")?;
    Some(Answer {
        status: head.split(' ').nth(1)?.parse().ok()?,
        body: body.to_owned(),
    })
}

/// A request as a runner reads it.
#[derive(Clone)]
pub struct Seen {
    pub line: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Seen {
    pub fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Reads one request with a length; `None` when the connection ends.
pub fn read_request(stream: &mut TcpStream, rest: &mut Vec<u8>) -> Option<Seen> {
    let mut buffer = [0_u8; 16 * 1024];
    loop {
        if let Some(end) = rest.windows(4).position(|bytes| bytes == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&rest[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next()?.to_owned();
            let fields = lines.filter_map(|line| line.split_once(':'));
            let headers: BTreeMap<String, String> = fields
                .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                .collect();
            let length = headers.get("content-length").map_or("0", String::as_str);
            let whole = end + 4 + length.parse::<usize>().ok()?;
            if rest.len() >= whole {
                let body = rest[end + 4..whole].to_vec();
                rest.drain(..whole);
                return Some(Seen {
                    line,
                    headers,
                    body,
                });
            }
        }
        match stream.read(&mut buffer) {
            Ok(length) if length > 0 => rest.extend_from_slice(&buffer[..length]),
            _ => return None,
        }
    }
}

/// An answer with a length.
pub fn answer(status: u16, headers: &[(&str, &str)], body: &str) -> Vec<u8> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    (head + "\r\n" + body).into_bytes()
}

/// What a runner does with the requests that it runs.
pub type Work = dyn Fn(&Runner, &Seen, &mut TcpStream) -> io::Result<()> + Send + Sync;

/// Memory of a model's weights, and of a runner for weights, in MB (the site's sheet).
pub const MODEL_MB: f64 = 65_100.0;
pub const RUNNER_MB: f64 = 210_000.0;
/// Time of a load from the weight store, and of an unload.
pub const LOAD_TIME: Duration = Duration::from_millis(2_900);
const UNLOAD_TIME: Duration = Duration::from_millis(50);

/// What a runner holds, and the order under way.
struct Holdings {
    /// Models, with the memory that each has taken since it was loaded, in MB.
    models: Vec<(String, f64)>,
    /// Memory of a model that is loaded from now on, in MB.
    load_mb: f64,
    /// The model that the order under way concerns.
    changing: Option<String>,
    is_busy: bool,
    /// Models of the requests that run.
    running: Vec<String>,
    /// Orders taken.
    seq: u64,
    /// It was ordered to load more than it holds, and fell.
    has_fallen: bool,
}

/// A stand-in for a runner: it registers, answers health checks, reports and orders as the pages
/// say, turns away what is meant for another instance or a model that it does not hold, and runs
/// requests by its `work`.
pub struct Runner {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub record: Record,
    holdings: Mutex<Holdings>,
    beats: AtomicU64,
    /// Where heartbeats go: the nodes, and the one that is called now.
    controls: Vec<SocketAddr>,
    node: AtomicUsize,
    /// The address that the last answer named for later heartbeats.
    named: Mutex<Option<SocketAddr>>,
    /// How late its heartbeats arrive.
    late: Duration,
    stop: AtomicBool,
    work: Box<Work>,
}

impl Runner {
    pub fn start(
        site: &Site,
        (id, service): (&str, &str),
        models: &[&str],
        late: Duration,
        work: Box<Work>,
    ) -> io::Result<Arc<Self>> {
        let listener = TcpListener::bind((site.ip(250), 0))?;
        let holdings = Holdings {
            models: models
                .iter()
                .map(|one| ((*one).to_owned(), MODEL_MB))
                .collect(),
            load_mb: MODEL_MB,
            changing: None,
            is_busy: false,
            running: Vec::new(),
            seq: 0,
            has_fallen: false,
        };
        let runner = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address: listener.local_addr()?,
            record: site.record.clone(),
            holdings: Mutex::new(holdings),
            beats: AtomicU64::new(0),
            controls: site.controls(),
            node: AtomicUsize::new(0),
            named: Mutex::new(None),
            late,
            stop: AtomicBool::new(false),
            work,
        });
        let serving = runner.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let serving = serving.clone();
                thread::spawn(move || serving.serve(stream));
            }
        });
        let beating = runner.clone();
        thread::spawn(move || beating.register());
        Ok(runner)
    }

    /// Ends the heartbeats.
    pub fn stop(&self) {
        self.stop.store(true, Ordering::Relaxed);
    }

    fn holdings(&self) -> std::sync::MutexGuard<'_, Holdings> {
        self.holdings.lock().expect("the holdings")
    }

    /// Models that it loads from now on take this memory; those that it holds stay as they are.
    pub fn loads_take(&self, load_mb: f64) {
        self.holdings().load_mb = load_mb;
    }

    /// Whether it was ordered to load more than it holds.
    pub fn has_fallen(&self) -> bool {
        self.holdings().has_fallen
    }

    /// The next heartbeat, with what the runner holds now.
    fn beat(&self) -> String {
        let beat = self.beats.fetch_add(1, Ordering::Relaxed) + 1;
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"ibarra\",\"version\":\"v1\",\
             \"slots\":64,\"state\":\"ready\",\"coldRemainingMs\":0,\"phase\":\"colocated\",\
             \"models\":[{}],\"seq\":{beat}}}",
            self.service,
            self.address,
            self.holdings().listed()
        )
    }

    /// A heartbeat is acknowledged by a 2xx within a second; else the next node is called. A late
    /// one is taken by its node after that second, so that the next node is called each time.
    fn register(self: &Arc<Self>) {
        while !self.stop.load(Ordering::Relaxed) && !self.has_fallen() {
            let is_acknowledged = self.send_beat();
            if is_acknowledged {
                thread::sleep(HEARTBEAT);
                continue;
            }
            self.node.fetch_add(1, Ordering::Relaxed);
            let is_late = self.late > CALL_LIMIT;
            thread::sleep(if is_late {
                CALL_LIMIT
            } else {
                Duration::from_millis(20)
            });
        }
    }

    /// Sends a heartbeat that tells what the runner holds now; returns whether it is acknowledged. A
    /// late one comes to its node by itself, and nobody waits for it any more.
    fn send_beat(self: &Arc<Self>) -> bool {
        let path = format!("/courseshunt/Instances.Heartbeat/{}", self.id);
        let body = self.beat();
        let node = self.node.load(Ordering::Relaxed);
        let named = *self.named.lock().expect("the address");
        let control = named.unwrap_or(self.controls[node % self.controls.len()]);
        if self.late > CALL_LIMIT {
            let own = self.clone();
            thread::spawn(move || {
                thread::sleep(own.late);
                if !own.has_fallen() {
                    call(control, "POST", &path, &body);
                }
            });
            return false;
        }
        let answer = call(control, "POST", &path, &body);
        let answer = answer.filter(|answer| answer.status / 100 == 2);
        // It holds until a heartbeat fails there.
        *self.named.lock().expect("the address") = answer.as_ref().and_then(|answer| {
            let found = answer.body.split_once("\"heartbeatAddr\":\"");
            let address = found.and_then(|(_, rest)| rest.split('"').next());
            address.and_then(|one| one.parse().ok()).or(named)
        });
        answer.is_some()
    }

    fn serve(self: &Arc<Self>, mut stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut rest = Vec::new();
        while let Some(seen) = read_request(&mut stream, &mut rest) {
            if self.has_fallen() || self.serve_one(&seen, &mut stream).is_err() {
                return;
            }
        }
    }

    fn serve_one(self: &Arc<Self>, seen: &Seen, stream: &mut TcpStream) -> io::Result<()> {
        let id = seen.header("x-request-id");
        let expected = seen.header("x-expect-instance");
        let not_run = [("X-Request-Id", id), ("X-Not-Executed", "1")];
        if !expected.is_empty() && expected != self.id {
            return stream.write_all(&answer(421, &not_run, ""));
        }
        if seen.line.starts_with("GET /healthz ") {
            return stream.write_all(&answer(200, &[("X-Instance-Id", &self.id)], ""));
        }
        if seen.line.starts_with("GET /courseshunt/report ") {
            return stream.write_all(&answer(200, &[], &self.holdings().report()));
        }
        if seen.line.starts_with("POST /courseshunt/order ") {
            let status = self.take_order(&String::from_utf8_lossy(&seen.body));
            return stream.write_all(&answer(status, &[], "{}"));
        }
        if id.is_empty() {
            return stream.write_all(&answer(400, &[("X-Not-Executed", "1")], ""));
        }
        let model = seen.header("x-model-name");
        {
            let mut holdings = self.holdings();
            if holdings.changing.as_deref() == Some(model) {
                drop(holdings);
                return stream.write_all(&answer(503, &not_run, ""));
            }
            if !holdings.holds(model) {
                drop(holdings);
                return stream.write_all(&answer(421, &not_run, ""));
            }
            holdings.running.push(model.to_owned());
        }
        self.record.note(&format!(
            "{} ({}) runs {id}: {}",
            self.id, self.service, seen.line
        ));
        let done = (self.work)(self, seen, stream);
        {
            let mut holdings = self.holdings();
            let place = holdings.running.iter().position(|one| one == model);
            place.map(|place| holdings.running.swap_remove(place));
        }
        let end = if done.is_ok() {
            "whole"
        } else {
            "its connection ended"
        };
        self.record
            .note(&format!("{} ({}) ends {id}: {end}", self.id, self.service));
        done
    }

    /// Takes an order as the pages say; returns the status of the answer.
    fn take_order(self: &Arc<Self>, body: &str) -> u16 {
        let text = |name: &str| {
            let (_, rest) = body.split_once(&format!("\"{name}\":"))?;
            let value = rest.split([',', '}']).next()?;
            Some(value.trim().trim_matches('"').to_owned())
        };
        let model = text("model").unwrap_or_default();
        let loads = text("operation").as_deref() == Some("loading");
        let expected = text("expected").and_then(|expected| expected.parse().ok());
        let mut holdings = self.holdings();
        let is_held = holdings.holds(&model);
        let status = if holdings.is_busy || expected.is_some_and(|one: u64| one != holdings.seq) {
            409
        } else if is_held == loads {
            200
        } else {
            202
        };
        let holder = text("holder").unwrap_or_default();
        let order = if loads { "load" } else { "unload" };
        self.record.note(&format!(
            "{}: order of {holder} to {order} {model}, expected {expected:?}, taken {}, holds {:?}: {status}",
            self.id, holdings.seq, holdings.models
        ));
        if status != 202 {
            return status;
        }
        holdings.seq += 1;
        let needed_mb = holdings.models.iter().map(|(_, mb)| mb).sum::<f64>() + holdings.load_mb;
        if loads && needed_mb > RUNNER_MB {
            holdings.has_fallen = true;
            self.record.note(&format!(
                "LIMIT: {} is ordered to hold {needed_mb} of {RUNNER_MB} MB, and falls",
                self.id
            ));
            return status;
        }
        holdings.is_busy = true;
        holdings.changing = Some(model.clone());
        drop(holdings);
        let own = self.clone();
        thread::spawn(move || {
            thread::sleep(if loads { LOAD_TIME } else { UNLOAD_TIME });
            // An unload waits for the runs of its model.
            while !loads && own.holdings().running.contains(&model) {
                thread::sleep(Duration::from_millis(5));
            }
            let mut holdings = own.holdings();
            holdings.is_busy = false;
            holdings.changing = None;
            match loads {
                true => holdings.add(&model),
                false => holdings.models.retain(|(held, _)| *held != model),
            }
            own.record
                .note(&format!("{}: the {order} of {model} ends", own.id));
            drop(holdings);
            // A heartbeat out of turn tells it, as late as the others.
            own.send_beat();
        });
        status
    }
}

impl Holdings {
    fn holds(&self, model: &str) -> bool {
        self.models.iter().any(|(held, _)| held == model)
    }

    fn add(&mut self, model: &str) {
        self.models.push((model.to_owned(), self.load_mb));
    }

    fn listed(&self) -> String {
        let models = self.models.iter();
        let models =
            models.map(|(one, _)| format!("{{\"name\":\"{one}\",\"version\":1,\"adapters\":[]}}"));
        models.collect::<Vec<_>>().join(",")
    }

    fn report(&self) -> String {
        format!(
            "{{\"phase\":\"colocated\",\"models\":[{}],\"busy\":{},\"seq\":{},\"queued\":0,\"running\":0,\
             \"kvUsed\":0,\"kvTotal\":265792,\"handles\":0}}",
            self.listed(),
            self.is_busy,
            self.seq
        )
    }
}
