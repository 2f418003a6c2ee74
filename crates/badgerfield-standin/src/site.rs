//! A small site of real processes on loopback, for tests that kill and freeze them.

use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use anyhow::{Context, Result, bail};
use badgerfield_core::template::KeyDigest;
use badgerfield_node::http::{self, HttpClient};
use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request};
use serde_json::{Value, json};

/// The secret with which callers of the site draw on its budget.
pub const KEY: &str = "site-key";
/// The name of the site's budget.
pub const BUDGET: &str = "parcelview/accra";
/// The secret that the site's processes share.
const FLEET: &str = "6f3d1c0f8a5b4e7d9c2a1b0e6f5d4c3b2a1908f7e6d5c4b3a29180f7e6d5c4b3";
/// The first port that sites use.
const FIRST_PORT: u16 = 22_000;
/// How many ports sites use.
const PORTS: u16 = 8_000;
/// How long an answer may take.
const PATIENCE: Duration = Duration::from_secs(30);
/// How long a condition is waited for.
const WAIT: Duration = Duration::from_mins(1);
/// The lines of a log that say the same every few seconds.
const PERIODIC: [&str; 2] = ["node: messages ", "platform: calls "];
/// How long to wait between two looks.
const LOOK: Duration = Duration::from_millis(100);

/// What a caller got.
#[derive(Debug, Clone)]
pub struct Got {
    /// The HTTP status; 0 if no answer came.
    pub status: u16,
    /// The body.
    pub body: String,
}

impl Got {
    /// Returns the body as JSON; null if it is none.
    #[must_use]
    pub fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap_or_default()
    }

    /// Returns the text of a streamed answer, if it is whole.
    #[must_use]
    pub fn streamed(&self) -> Option<String> {
        let mut text = String::new();
        for line in self.body.lines().filter_map(|line| line.strip_prefix("data: ")) {
            if line == "[DONE]" {
                return Some(text);
            }
            let event: Value = serde_json::from_str(line).ok()?;
            text.push_str(event["choices"][0]["delta"]["content"].as_str().unwrap_or_default());
        }
        None
    }
}

/// One VM process.
#[derive(Debug)]
struct Vm {
    settings: PathBuf,
    callers: SocketAddr,
    operators: SocketAddr,
    child: Option<Child>,
}

/// A running site.
#[derive(Debug)]
pub struct Site {
    /// The admin port of the key-value service.
    pub kv_admin: SocketAddr,
    /// The admin port of the plain service.
    pub service_admin: SocketAddr,
    /// The admin ports of the engines.
    pub engine_admins: Vec<SocketAddr>,
    folder: PathBuf,
    programs: PathBuf,
    client: HttpClient,
    kv: SocketAddr,
    list: SocketAddr,
    vms: Vec<Vm>,
    others: Vec<Child>,
}

impl Site {
    /// Starts a site with a number of VMs and a budget, and waits until it is ready.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start(programs: &Path, vms: usize, limit: u64, decode: u64) -> Result<Self> {
        Self::start_with_engines(programs, (vms, 2), limit, decode).await
    }

    /// Does the same with a number of VMs and one of engines.
    ///
    /// # Errors
    ///
    /// Fails if a process does not start or does not become ready.
    pub async fn start_with_engines(
        programs: &Path,
        (vms, engines): (usize, usize),
        limit: u64,
        decode: u64,
    ) -> Result<Self> {
        // A folder of its own: what an earlier run has left would count as this one's.
        let name = format!("badgerfield-{}-{}", std::process::id(), free_address()?.port());
        let folder = std::env::temp_dir().join(name);
        std::fs::create_dir_all(&folder)?;
        let mut site = Self {
            kv_admin: free_address()?,
            service_admin: free_address()?,
            engine_admins: (0..engines).map(|_| free_address()).collect::<Result<_>>()?,
            folder,
            programs: programs.to_owned(),
            client: http::client(),
            kv: free_address()?,
            list: free_address()?,
            vms: Vec::new(),
            others: Vec::new(),
        };
        site.start_others(vms, decode)?;
        site.wait("the VM list", async |s| s.get(s.list, "/").await.status == 200).await?;
        site.wait("the key-value service", async |s| {
            s.get(s.kv_admin, "/calls").await.status == 200
        })
        .await?;
        for admin in site.engine_admins.clone().into_iter().chain([site.service_admin]) {
            site.wait("an upstream", async |s| s.get(admin, "/truth").await.status == 200).await?;
        }
        for number in 0..vms {
            site.add_vm(number)?;
            site.start_vm(number)?;
        }
        site.apply(limit)?;
        for number in 0..vms {
            site.wait("a VM", async |s| s.is_ready(number).await).await?;
        }
        Ok(site)
    }

    /// Starts the process of a VM.
    ///
    /// # Errors
    ///
    /// Fails if the program cannot be run.
    pub fn start_vm(&mut self, number: usize) -> Result<()> {
        let log = self.folder.join(format!("vm-{number}.log"));
        let log = std::fs::OpenOptions::new().create(true).append(true).open(log)?;
        let mut command = Command::new(self.programs.join("badgerfield"));
        command.arg("run").arg("--settings").arg(&self.vms[number].settings);
        self.vms[number].child = Some(command.stdout(log.try_clone()?).stderr(log).spawn()?);
        Ok(())
    }

    /// Sends a signal to the process of a VM: `KILL`, `STOP`, `CONT` or `TERM`.
    ///
    /// # Errors
    ///
    /// Fails if there is no such process.
    pub fn signal(&mut self, number: usize, name: &str) -> Result<()> {
        let child = self.vms[number].child.as_mut().context("the VM runs")?;
        let done =
            Command::new("kill").arg(format!("-{name}")).arg(child.id().to_string()).status()?;
        if !done.success() {
            bail!("kill -{name} failed");
        }
        if name == "KILL" {
            child.wait()?;
        }
        Ok(())
    }

    /// Returns the process number of a VM; 0 if it does not run.
    #[must_use]
    pub fn pid(&self, number: usize) -> u32 {
        self.vms[number].child.as_ref().map_or(0, Child::id)
    }

    /// Tells whether the process of a VM has ended.
    ///
    /// # Errors
    ///
    /// Fails if the process cannot be looked at.
    pub fn has_ended(&mut self, number: usize) -> Result<bool> {
        let child = self.vms[number].child.as_mut().context("the VM was started")?;
        Ok(child.try_wait()?.is_some())
    }

    /// Tells whether a VM is ready for callers.
    pub async fn is_ready(&self, number: usize) -> bool {
        self.get(self.vms[number].operators, "/readyz").await.status == 200
    }

    /// Returns the state of a VM.
    pub async fn status(&self, number: usize) -> Value {
        self.get(self.vms[number].operators, "/v1/status").await.json()
    }

    /// Asks for a streamed chat completion through a VM.
    pub async fn chat(&self, number: usize, key: Option<&str>, prompt: &str, output: u64) -> Got {
        let body = json!({
            "model": "land-7b",
            "stream": true,
            "max_tokens": output,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let address = self.vms[number].callers;
        self.send(address, Method::POST, "/v1/chat/completions", key, body.to_string()).await
    }

    /// Calls the plain service through a VM.
    pub async fn call(&self, number: usize, key: &str, path: &str) -> Got {
        let path = format!("/svc/scoring/{path}");
        self.send(self.vms[number].callers, Method::POST, &path, Some(key), "team 4".into()).await
    }

    /// Sets faults of a stand-in.
    pub async fn faults(&self, admin: SocketAddr, faults: &Value) -> Got {
        self.send(admin, Method::POST, "/faults", None, faults.to_string()).await
    }

    /// Returns what a stand-in truly did.
    pub async fn truth(&self, admin: SocketAddr) -> Value {
        self.get(admin, "/truth").await.json()
    }

    /// Returns how many engines have ended.
    pub async fn ended_engines(&self) -> usize {
        let mut ended = 0;
        for admin in &self.engine_admins {
            ended += usize::from(self.get(*admin, "/truth").await.status != 200);
        }
        ended
    }

    /// Returns the tokens that all engines served.
    pub async fn served(&self) -> u64 {
        let mut served = 0;
        for admin in &self.engine_admins {
            let truth = self.truth(*admin).await;
            for stream in truth.as_object().into_iter().flat_map(serde_json::Map::values) {
                served += stream["prompt"].as_u64().unwrap_or(0);
                served += stream["output"].as_u64().unwrap_or(0);
            }
        }
        served
    }

    /// Returns what a VM has logged.
    #[must_use]
    pub fn log(&self, number: usize) -> String {
        std::fs::read_to_string(self.folder.join(format!("vm-{number}.log"))).unwrap_or_default()
    }

    /// Returns the bill lines of all VMs: key, cost, and whether it was billed.
    #[must_use]
    pub fn bills(&self) -> Vec<(String, u64, bool)> {
        let mut bills = Vec::new();
        for number in 0..self.vms.len() {
            for line in self.log(number).lines().filter(|line| line.contains(" bills: ")) {
                let words: Vec<_> = line.split_whitespace().collect();
                let after = |name: &str| {
                    let place = words.iter().position(|w| *w == name)?;
                    words.get(place + 1).map(|w| w.trim_end_matches(':').to_owned())
                };
                let key = after("stream").unwrap_or_default();
                let cost = after("cost").and_then(|c| c.parse().ok()).unwrap_or(0);
                bills.push((key, cost, line.ends_with(": billed")));
            }
        }
        bills
    }

    /// Returns the tokens of all bill lines.
    #[must_use]
    pub fn billed(&self) -> u64 {
        self.bills().iter().map(|bill| bill.1).sum()
    }

    /// Returns what all engines truly did.
    pub async fn all_truth(&self) -> Vec<Value> {
        let mut truth = Vec::new();
        for admin in &self.engine_admins {
            truth.push(self.truth(*admin).await);
        }
        truth
    }

    /// Waits until a condition holds.
    ///
    /// # Errors
    ///
    /// Fails if it does not hold in time.
    pub async fn wait(&self, what: &str, holds: impl AsyncFn(&Self) -> bool) -> Result<()> {
        let until = Instant::now() + WAIT;
        while Instant::now() < until {
            if holds(self).await {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        let mut found = String::new();
        for number in 0..self.vms.len() {
            let (status, log) = (self.status(number).await, self.log(number));
            let lines: Vec<_> = log.lines().rev().take(12).collect();
            found = format!("{found}\nVM {number}: {status}\n{}", lines.join("\n"));
        }
        bail!("waited in vain for {what}{found}")
    }

    /// Writes the site's templates with a limit.
    ///
    /// # Errors
    ///
    /// Fails if the command does.
    pub fn apply(&self, limit: u64) -> Result<()> {
        let file = self.folder.join("templates.ini");
        std::fs::write(&file, templates(limit))?;
        let done = Command::new(self.programs.join("badgerfield"))
            .args(["template", "apply", "--author", "site", "--settings"])
            .arg(&self.vms[0].settings)
            .arg(&file)
            .stdout(Stdio::null())
            .status()?;
        if !done.success() {
            bail!("template apply failed: {done}");
        }
        Ok(())
    }

    async fn get(&self, address: SocketAddr, path: &str) -> Got {
        self.send(address, Method::GET, path, None, String::new()).await
    }

    async fn send(
        &self,
        to: SocketAddr,
        method: Method,
        path: &str,
        key: Option<&str>,
        body: String,
    ) -> Got {
        let mut request = Request::builder().method(method).uri(format!("http://{to}{path}"));
        request = request.header("authorization", format!("Bearer {KEY}"));
        if let Some(key) = key {
            request = request.header("idempotency-key", key);
        }
        let lost = Got { status: 0, body: String::new() };
        let Ok(request) = request.body(Full::new(Bytes::from(body))) else {
            return lost;
        };
        let work = async {
            let response = self.client.request(request).await.ok()?;
            let status = response.status().as_u16();
            let body = http::read_body(response.into_body(), 16_000_000).await?;
            Some(Got { status, body: String::from_utf8_lossy(&body).into_owned() })
        };
        tokio::time::timeout(PATIENCE, work).await.ok().flatten().unwrap_or(lost)
    }

    fn start_others(&mut self, vms: usize, decode: u64) -> Result<()> {
        let service = free_address()?;
        let engines: Vec<_> =
            self.engine_admins.iter().map(|_| free_address()).collect::<Result<_>>()?;
        let list = self.folder.join("vms.json");
        std::fs::write(&list, vm_list(vms, service, &engines).to_string())?;
        let (kv, kv_admin) = (self.kv, self.kv_admin);
        self.spawn("kv", kv, kv_admin, &[])?;
        self.spawn("service", service, self.service_admin, &[])?;
        let file = list.to_string_lossy().into_owned();
        self.spawn("vms", self.list, free_address()?, &["--file", &file])?;
        for (engine, admin) in engines.into_iter().zip(self.engine_admins.clone()) {
            self.spawn("engine", engine, admin, &["--decode", &decode.to_string()])?;
        }
        Ok(())
    }

    fn spawn(
        &mut self,
        part: &str,
        listen: SocketAddr,
        admin: SocketAddr,
        more: &[&str],
    ) -> Result<()> {
        let child = Command::new(self.programs.join("badgerfield-standin"))
            .arg(part)
            .args(["--listen", &listen.to_string(), "--admin", &admin.to_string()])
            .args(more)
            .stdout(Stdio::null())
            .spawn()
            .with_context(|| format!("start the stand-in {part}; build the workspace first"))?;
        self.others.push(child);
        Ok(())
    }

    fn add_vm(&mut self, number: usize) -> Result<()> {
        let (callers, peers, operators) = (free_address()?, free_address()?, free_address()?);
        let settings = self.folder.join(format!("vm-{number}.ini"));
        let region = if number.is_multiple_of(2) { "north" } else { "south" };
        let text = format!(
            "[vm]\nname = vm-{number}\nregion = {region}\ndomain = d{number}\n\
             [listen]\ncallers = {callers}\npeers = {peers}\noperators = {operators}\n\
             [platform]\nkv = http://{}\nvm_list = http://{}/\nvm_poll = 500ms\n\
             [keys]\nfleet = {FLEET}\n[limits]\ndirectory = 1s\nsilence = 4s\n",
            self.kv, self.list
        );
        std::fs::write(&settings, text)?;
        self.vms.push(Vm { settings, callers, operators, child: None });
        Ok(())
    }
}

impl Site {
    /// Prints what all VMs have logged of requests and budgets, in the order of time: a failed test
    /// is a trace of itself.
    fn print_logs(&self) {
        let mut lines = Vec::new();
        for number in 0..self.vms.len() {
            let log = self.log(number);
            let told = log.lines().filter(|line| !PERIODIC.iter().any(|word| line.contains(word)));
            lines.extend(told.map(|line| format!("{line} [vm-{number}]")));
        }
        lines.sort();
        eprintln!("{}", lines.join("\n"));
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        let vms = self.vms.iter_mut().filter_map(|vm| vm.child.as_mut());
        for child in vms.chain(self.others.iter_mut()) {
            // A process that has ended already needs no killing.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            self.print_logs();
        } else {
            // What is left of a good run is of no use to anybody.
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Returns an address that is free for TCP and UDP, and that no other site gets: one that is taken
/// while a VM stands still between two processes would keep the next one from starting.
///
/// The range of ports lies below those that the system gives to outgoing connections.
fn free_address() -> Result<SocketAddr> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let [.., high, low] = std::process::id().to_be_bytes();
    for _ in 0..PORTS {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let number = FIRST_PORT + step % PORTS;
        // Processes that test at the same time have loopback addresses of their own.
        let address = SocketAddr::from(([127, high, low, 1], number));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    bail!("no port is free")
}

fn vm_list(vms: usize, service: SocketAddr, engines: &[SocketAddr]) -> Value {
    let mut list = Vec::new();
    for (n, address) in engines.iter().enumerate() {
        let kind = json!({ "engine": { "model": "land-7b", "prefill": 20000, "decode": 50 } });
        list.push(upstream(&format!("engine-{n}"), *address, &kind));
    }
    list.push(upstream("scoring-0", service, &json!({ "service": "scoring" })));
    list.extend((0..vms).map(|n| json!({ "vm": format!("vm-{n}") })));
    Value::Array(list)
}

fn upstream(id: &str, address: SocketAddr, kind: &Value) -> Value {
    let upstream = json!({
        "id": id, "address": address, "region": "north", "hardware": "new", "slots": 64, "kind": kind,
    });
    json!({ "vm": format!("u-{id}"), "upstream": upstream })
}

fn templates(limit: u64) -> String {
    let digest = KeyDigest::from_secret(KEY);
    format!(
        "[account parcelview]\nmodels = land-7b\nservices = scoring\nunrepeatable = scoring/score\n\
         output_limit = 64\n[budget {BUDGET}]\nlimit = {limit}\nkeys = {digest}\n"
    )
}
