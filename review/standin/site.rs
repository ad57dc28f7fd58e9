//! A small site on loopback addresses: processes of the deploy file, an operator, runners and
//! clients. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs::{self, File};
use std::io::{self, Read, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
    fn prctl(option: i32, argument: u64) -> i32;
}

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// Bounds of the small deployments (SYSTEM.md).
pub const HEARTBEAT_MS: u64 = 1200;
pub const GRACE_S: u64 = 8;

/// What was seen, with the time since the start in seconds.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<File>>,
}

impl Record {
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("create the record");
        Self {
            started: Instant::now(),
            lines: Arc::new(Mutex::new(file)),
        }
    }

    pub fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64()
    }

    pub fn line(&self, text: &str) {
        let at = self.now();
        let mut file = self.lines.lock().unwrap();
        let _ = writeln!(file, "{at:9.3}  {text}");
        let _ = file.flush();
    }
}

/// A process of the product.
pub struct Process {
    pub name: String,
    pub ip: Ipv4Addr,
    settings: PathBuf,
    role: &'static str,
    child: Option<Child>,
}

impl Process {
    pub fn signal(&self, signal: i32) {
        if let Some(child) = &self.child {
            unsafe { kill(child.id() as i32, signal) };
        }
    }

    /// The exit code, if the process has ended; -1 for an end by a signal.
    pub fn ended(&mut self) -> Option<i32> {
        let child = self.child.as_mut()?;
        match child.try_wait() {
            Ok(Some(status)) => Some(status.code().unwrap_or(-1)),
            _ => None,
        }
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Ports, alike on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    pub front: u16,
    pub ready: u16,
    pub control: u16,
    pub range: u16,
}

pub struct Site {
    pub root: PathBuf,
    pub folder: PathBuf,
    pub net: (u8, u8),
    pub ports: Ports,
    pub record: Record,
    pub controllers: Vec<Process>,
    pub routers: Vec<Process>,
    bootstrap: bool,
}

fn random() -> u64 {
    let mut bytes = [0_u8; 8];
    let _ = File::open("/dev/urandom").and_then(|mut file| file.read_exact(&mut bytes));
    u64::from_le_bytes(bytes)
}

impl Site {
    /// Chooses addresses and ports, and makes a temporary folder.
    pub fn new(root: &Path, record: Record) -> Self {
        let folder = std::env::temp_dir().join(format!("courseshunt-review-{:016x}", random()));
        fs::create_dir_all(&folder).expect("create a temporary folder");
        loop {
            let draw = random();
            let net = (100 + (draw % 100) as u8, 1 + ((draw >> 8) % 250) as u8);
            let base = 20_000 + ((draw >> 16) % 300) as u16 * 32;
            let ports = Ports {
                front: base,
                ready: base + 1,
                control: base + 2,
                range: base + 8,
            };
            let probe = Ipv4Addr::new(127, net.0, net.1, 1);
            let free = (base..base + 24).all(|port| TcpListener::bind((probe, port)).is_ok());
            if free {
                return Self {
                    root: root.to_owned(),
                    folder,
                    net,
                    ports,
                    record,
                    controllers: Vec::new(),
                    routers: Vec::new(),
                    bootstrap: true,
                };
            }
        }
    }

    pub fn address(&self, host: u8) -> Ipv4Addr {
        Ipv4Addr::new(127, self.net.0, self.net.1, host)
    }

    fn seeds(&self) -> String {
        let seeds =
            (1..=3).map(|host| format!("\"{}:{}\"", self.address(host), self.ports.control));
        seeds.collect::<Vec<_>>().join(",")
    }

    /// `platform/settings/process.toml`, filled in as the platform does.
    fn settings(&self, name: &str, ip: Ipv4Addr, zone: &str, data: &str, front: bool) -> String {
        let Ports {
            front: clients,
            ready,
            control,
            range,
        } = self.ports;
        let listen = match front {
            true => {
                format!("clients = \"{ip}:{clients}\"\nready = \"{ip}:{ready}\"\ncontrol = \"\"\n")
            }
            false => format!("clients = \"\"\nready = \"\"\ncontrol = \"{ip}:{control}\"\n"),
        };
        format!(
            "name = \"{name}\"\nzone = \"{zone}\"\naddress = \"{ip}\"\nwire_port = {range}\n\
             seeds = [{}]\nfound_group = {}\ndata_folder = \"{data}\"\n\
             cluster_key = \"courseshunt on loopback: one key for all processes\"\n\n[listen]\n{listen}\
             metrics = \"{ip}:{}\"\n\n[limits]\nretry_ratio = 0.2\nretry_slack = 54\n\
             retry_window_s = 10\nregistration_interval_ms = {HEARTBEAT_MS}\norder_lease_ms = 3000\n\
             load_window_s = 5\ngrace_s = {GRACE_S}\n",
            self.seeds(),
            self.bootstrap,
            range + 15,
        )
    }

    fn start(&self, process: &mut Process) {
        let log = File::create(self.folder.join(format!("{}.log", process.name))).expect("log");
        let errors = log.try_clone().expect("log");
        let mut command = Command::new(self.root.join("target/release/courseshunt-platform"));
        // The process ends with this one, however this one ends.
        unsafe {
            command.pre_exec(|| {
                const PR_SET_PDEATHSIG: i32 = 1;
                prctl(PR_SET_PDEATHSIG, SIGKILL as u64);
                Ok(())
            });
        }
        let child = command
            .arg(process.role)
            .current_dir(&self.root)
            .env("COURSESHUNT_BOOT", &process.settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn();
        match child {
            Ok(child) => process.child = Some(child),
            Err(error) => {
                eprintln!("start {}: {error}", process.name);
                std::process::exit(2);
            }
        }
    }

    fn machine(&self, name: String, host: u8, zone: &str, role: &'static str) -> Process {
        let ip = self.address(host);
        let data = self.folder.join(format!("{name}.data"));
        let front = role == "router";
        if !front {
            fs::create_dir_all(&data).expect("data folder");
        }
        let data = if front {
            String::new()
        } else {
            data.display().to_string()
        };
        let settings = self.folder.join(format!("{name}.toml"));
        let text = self.settings(&name, ip, zone, &data, front);
        fs::write(&settings, text).expect("write settings");
        Process {
            name,
            ip,
            settings,
            role,
            child: None,
        }
    }

    /// Starts the controllers (hosts 1..) and routers (hosts 101..), all at once.
    pub fn start_all(&mut self, controllers: u8, routers: u8) {
        for number in 1..=controllers {
            let zone = format!("zone-{}", number % 3);
            let name = format!("core-{number}");
            let mut process = self.machine(name, number, &zone, "controller");
            self.start(&mut process);
            self.controllers.push(process);
        }
        for number in 1..=routers {
            let zone = format!("zone-{}", number % 3);
            let name = format!("front-{number}");
            let mut process = self.machine(name, 100 + number, &zone, "router");
            self.start(&mut process);
            self.routers.push(process);
        }
        self.bootstrap = false;
    }

    /// Starts a process that has ended once more.
    pub fn restart_controller(&mut self, index: usize) {
        let mut process = self.controllers.remove(index);
        if let Some(child) = &mut process.child {
            let _ = child.wait();
        }
        let text = fs::read_to_string(&process.settings).unwrap_or_default();
        let text = text.replace("found_group = true", "found_group = false");
        let _ = fs::write(&process.settings, text);
        self.start(&mut process);
        self.controllers.insert(index, process);
    }

    pub fn restart_router(&mut self, index: usize) {
        let mut process = self.routers.remove(index);
        if let Some(child) = &mut process.child {
            let _ = child.wait();
        }
        let text = fs::read_to_string(&process.settings).unwrap_or_default();
        let text = text.replace("found_group = true", "found_group = false");
        let _ = fs::write(&process.settings, text);
        self.start(&mut process);
        self.routers.insert(index, process);
    }

    pub fn control(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.controllers[index].ip), self.ports.control)
    }

    pub fn controls(&self) -> Vec<SocketAddr> {
        (0..self.controllers.len())
            .map(|index| self.control(index))
            .collect()
    }

    pub fn front(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.routers[index].ip), self.ports.front)
    }

    pub fn ready(&self, index: usize) -> SocketAddr {
        SocketAddr::new(IpAddr::V4(self.routers[index].ip), self.ports.ready)
    }

    /// Sends a configuration until it is acknowledged; returns the status.
    pub fn put(&self, document: &str, patience: Duration) -> Option<u16> {
        let end = Instant::now() + patience;
        let mut turn = 0;
        while Instant::now() < end {
            let to = self.control(turn % self.controllers.len());
            turn += 1;
            let answer = call(
                to,
                "POST",
                "/courseshunt/Config.Put",
                document.as_bytes(),
                Duration::from_secs(3),
            );
            match answer {
                Ok(answer) if answer.status < 500 => return Some(answer.status),
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Waits until all routers say that they are ready.
    pub fn until_ready(&self, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            let all = (0..self.routers.len()).all(|index| {
                let answer = call(
                    self.ready(index),
                    "GET",
                    "/courseshunt/ready",
                    b"",
                    Duration::from_secs(1),
                );
                answer.is_ok_and(|answer| answer.status == 200)
            });
            if all {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Ends all processes and removes the folder.
    pub fn end(&mut self) {
        self.controllers.clear();
        self.routers.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        } else {
            eprintln!("kept {}", self.folder.display());
        }
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end();
    }
}

/// An answer, read to its end.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
    /// Whether the end of the body was seen as the framing states it.
    pub complete: bool,
}

/// Reads a head: the first line and the headers, in lower case.
pub fn read_head(stream: &mut impl Read) -> io::Result<Option<(String, BTreeMap<String, String>)>> {
    let mut head = Vec::new();
    let mut byte = [0_u8; 1];
    while !head.ends_with(b"\r\n\r\n") {
        match stream.read(&mut byte)? {
            0 if head.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            _ => head.push(byte[0]),
        }
        if head.len() > 64 * 1024 {
            return Err(io::ErrorKind::InvalidData.into());
        }
    }
    let text = String::from_utf8_lossy(&head).into_owned();
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or_default().to_owned();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers =
        headers.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    Ok(Some((first, headers.collect())))
}

/// Reads a body as its framing states; returns the bytes, and whether the end was seen.
pub fn read_body(
    stream: &mut impl Read,
    headers: &BTreeMap<String, String>,
    mut seen: impl FnMut(&[u8]),
) -> (Vec<u8>, bool, Option<String>) {
    let mut body = Vec::new();
    let mut buffer = [0_u8; 16 * 1024];
    if headers
        .get("transfer-encoding")
        .is_some_and(|coding| coding.contains("chunked"))
    {
        loop {
            let mut line = Vec::new();
            let mut byte = [0_u8; 1];
            while !line.ends_with(b"\r\n") {
                match stream.read(&mut byte) {
                    Ok(0) => return (body, false, Some("end of connection".into())),
                    Ok(_) => line.push(byte[0]),
                    Err(error) => return (body, false, Some(error.to_string())),
                }
            }
            let text = String::from_utf8_lossy(&line);
            let size = text.trim().split(';').next().unwrap_or_default().to_owned();
            let Ok(size) = usize::from_str_radix(&size, 16) else {
                return (body, false, Some("no chunk".into()));
            };
            let mut left = size + 2;
            let mut chunk = Vec::new();
            while left > 0 {
                let most = left.min(buffer.len());
                match stream.read(&mut buffer[..most]) {
                    Ok(0) => {
                        body.extend_from_slice(&chunk);
                        return (body, false, Some("end of connection".into()));
                    }
                    Ok(read) => {
                        chunk.extend_from_slice(&buffer[..read]);
                        left -= read;
                    }
                    Err(error) => {
                        body.extend_from_slice(&chunk);
                        return (body, false, Some(error.to_string()));
                    }
                }
            }
            if size == 0 {
                return (body, true, None);
            }
            chunk.truncate(size);
            seen(&chunk);
            body.extend_from_slice(&chunk);
        }
    }
    let length = headers
        .get("content-length")
        .and_then(|length| length.parse::<usize>().ok());
    loop {
        let most = length.map_or(buffer.len(), |length| {
            (length - body.len()).min(buffer.len())
        });
        if most == 0 {
            return (body, true, None);
        }
        match stream.read(&mut buffer[..most]) {
            Ok(0) => return (body, length.is_none(), Some("end of connection".into())),
            Ok(read) => {
                seen(&buffer[..read]);
                body.extend_from_slice(&buffer[..read]);
            }
            Err(error) => return (body, false, Some(error.to_string())),
        }
    }
}

/// Sends one request on a new connection and reads the answer.
pub fn call(
    to: SocketAddr,
    method: &str,
    path: &str,
    body: &[u8],
    limit: Duration,
) -> io::Result<Answer> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(limit))?;
    stream.set_write_timeout(Some(limit))?;
    let kind = if body.is_empty() {
        ""
    } else {
        "Content-Type: application/json\r\n"
    };
    let head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {to}\r\nConnection: close\r\n{kind}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    stream.write_all(body)?;
    let Some((first, headers)) = read_head(&mut stream)? else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let status = first
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok())
        .unwrap_or(0);
    let (body, complete, _) = read_body(&mut stream, &headers, |_| {});
    Ok(Answer {
        status,
        headers,
        body,
        complete,
    })
}

/// Sends heartbeats of a runner until `stop`, as PROTOCOL.md says; `beat` gives the state.
pub fn beat(
    site_controls: Vec<SocketAddr>,
    id: String,
    stop: Arc<AtomicBool>,
    beat: impl Fn(u64) -> String + Send + 'static,
) {
    thread::spawn(move || {
        let sequence = AtomicU64::new(0);
        let mut turn = (random() % site_controls.len() as u64) as usize;
        while !stop.load(Ordering::Relaxed) {
            let number = sequence.fetch_add(1, Ordering::Relaxed) + 1;
            let body = beat(number);
            let path = format!("/courseshunt/Instances.Heartbeat/{id}");
            for _ in 0..site_controls.len() {
                let answer = call(
                    site_controls[turn],
                    "POST",
                    &path,
                    body.as_bytes(),
                    Duration::from_secs(1),
                );
                if answer.is_ok_and(|answer| (200..300).contains(&answer.status)) {
                    break;
                }
                turn = (turn + 1) % site_controls.len();
            }
            for _ in 0..12 {
                if stop.load(Ordering::Relaxed) {
                    return;
                }
                thread::sleep(Duration::from_millis(HEARTBEAT_MS / 12));
            }
        }
    });
}

pub fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_millis())
}

/// A request as a runner received it.
#[derive(Debug, Clone)]
pub struct Received {
    pub method: String,
    pub target: String,
    pub headers: BTreeMap<String, String>,
    pub body: Vec<u8>,
}

impl Received {
    pub fn id(&self) -> &str {
        self.headers.get("x-request-id").map_or("", String::as_str)
    }
}

/// Serves HTTP/1.1 on `address`: `answer` writes the whole answer and says whether the connection
/// is kept.
pub fn serve(
    address: SocketAddr,
    answer: impl Fn(&Received, &mut TcpStream) -> bool + Send + Sync + 'static,
) {
    let listener = TcpListener::bind(address).expect("bind a runner");
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let answer = answer.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                loop {
                    let Ok(Some((first, headers))) = read_head(&mut stream) else {
                        return;
                    };
                    let mut words = first.split(' ');
                    let method = words.next().unwrap_or_default().to_owned();
                    let target = words.next().unwrap_or_default().to_owned();
                    let has_body = headers.contains_key("content-length")
                        || headers.contains_key("transfer-encoding");
                    let body = match has_body {
                        true => read_body(&mut stream, &headers, |_| {}).0,
                        false => Vec::new(),
                    };
                    let received = Received {
                        method,
                        target,
                        headers,
                        body,
                    };
                    if !answer(&received, &mut stream) {
                        return;
                    }
                }
            });
        }
    });
}

/// The value of a field in a flat JSON object: the text of a string, or the digits of a number.
pub fn field(text: &str, name: &str) -> Option<String> {
    let start = text.find(&format!("\"{name}\""))? + name.len() + 2;
    let rest = text[start..].trim_start().strip_prefix(':')?.trim_start();
    match rest.strip_prefix('"') {
        Some(rest) => Some(rest[..rest.find('"')?].to_owned()),
        None => {
            let end = rest.find([',', '}']).unwrap_or(rest.len());
            Some(rest[..end].trim().to_owned())
        }
    }
}

unsafe extern "C" {
    fn socket(domain: i32, kind: i32, protocol: i32) -> i32;
    fn setsockopt(socket: i32, level: i32, name: i32, value: *const i32, length: u32) -> i32;
    fn connect(socket: i32, address: *const u8, length: u32) -> i32;
}

/// Connects like a client behind a network with segments and a receive window of these sizes
/// (TCP_MAXSEG and SO_RCVBUF on the client's own socket); loopback has segments of 64 KiB and
/// windows of megabytes otherwise.
pub fn connect_with_segments(to: SocketAddr, segment: i32, window: i32) -> io::Result<TcpStream> {
    use std::os::fd::FromRawFd;
    const AF_INET: i32 = 2;
    const SOCK_STREAM: i32 = 1;
    const IPPROTO_TCP: i32 = 6;
    const TCP_MAXSEG: i32 = 2;
    const SOL_SOCKET: i32 = 1;
    const SO_RCVBUF: i32 = 8;
    let SocketAddr::V4(to) = to else {
        return Err(io::ErrorKind::Unsupported.into());
    };
    let mut address = [0_u8; 16];
    address[0..2].copy_from_slice(&(AF_INET as u16).to_ne_bytes());
    address[2..4].copy_from_slice(&to.port().to_be_bytes());
    address[4..8].copy_from_slice(&to.ip().octets());
    unsafe {
        let number = socket(AF_INET, SOCK_STREAM, 0);
        if number < 0 {
            return Err(io::Error::last_os_error());
        }
        let stream = TcpStream::from_raw_fd(number);
        setsockopt(number, IPPROTO_TCP, TCP_MAXSEG, &segment, 4);
        setsockopt(number, SOL_SOCKET, SO_RCVBUF, &window, 4);
        match connect(number, address.as_ptr(), 16) {
            0 => Ok(stream),
            _ => Err(io::Error::last_os_error()),
        }
    }
}
