//! Reads and writes the record of the versions that may begin streams.

use crate::amount::Time;
use crate::event::{Command, LogEntry, Outbox, StoreCall, StoreKey, StoreResult, Versioned};
use crate::node::Node;
use crate::pending_calls::Purpose;
use crate::stored_record::RecordCall;
use crate::version_record::{self, KnownVersions, OpenVersions, ServiceVersions};

/// The subject by which members are ranked for the record.
const SUBJECT: &[u8] = b"versions";
/// The number of members that keep the record; more than one, since some may be cut off from the
/// store. The others read it when they start, and ask members after that.
const MAX_WRITERS: usize = 3;

impl Node {
    /// Handles what this process knows of the versions from the list of upstreams.
    pub(crate) fn handle_known_versions(&self, now: Time, known: KnownVersions, out: &mut Outbox) {
        let is_writer = self.is_version_writer();
        self.state.version_record().set_known(now, known, is_writer);
        self.start_version_call(now, out);
    }

    /// Handles the store's result for a call about the record. `written` is the content that was
    /// to be written.
    pub(crate) fn handle_version_result(
        &self,
        now: Time,
        written: Option<ServiceVersions>,
        result: StoreResult,
        out: &mut Outbox,
    ) {
        match (result, written) {
            (StoreResult::Written(revision), Some(versions)) => {
                self.apply_version_record(OpenVersions { revision, versions }, out);
            }
            (StoreResult::Value(found) | StoreResult::Conflict(found), _) => {
                self.decode_version_record(&found, out);
            }
            (_, written) => {
                self.state.version_record().stored.record_failure(written.is_some());
                return;
            }
        }
        self.start_version_call(now, out);
    }

    fn decode_version_record(&self, found: &Versioned, out: &mut Outbox) {
        let revision = found.revision;
        match version_record::decode(found.value.as_deref()) {
            Ok(versions) => self.apply_version_record(OpenVersions { revision, versions }, out),
            // Older streams are resumed by their own records.
            Err(error) => {
                let mut record = self.state.version_record();
                record.stored.set_revision(revision);
                record.set_unreadable();
                out.push(Command::Log(LogEntry::BadValue(StoreKey::Versions, error.to_string())));
            }
        }
    }

    fn apply_version_record(&self, open: OpenVersions, out: &mut Outbox) {
        let mut record = self.state.version_record();
        record.stored.set_revision(open.revision);
        record.set_content(open.versions.clone());
        out.push(Command::ApplyVersions(record.requested_at, open));
    }

    fn is_version_writer(&self) -> bool {
        let members = self.state.membership();
        let ranked = members.view.ranked(SUBJECT, None);
        ranked.iter().take(MAX_WRITERS).any(|member| member.incarnation == members.id())
    }

    fn start_version_call(&self, now: Time, out: &mut Outbox) {
        let mut members = self.state.membership();
        let mut record = self.state.version_record();
        let may_read = record.must_read();
        let Some(call) = record.stored.next_call(now, may_read) else {
            return;
        };
        record.requested_at = now;
        let (purpose, call) = match call {
            RecordCall::Read => (Purpose::VersionsRead, StoreCall::GetCurrent(StoreKey::Versions)),
            RecordCall::Write(expected_revision) => {
                let content = record.next_content();
                let value = version_record::encode(&content);
                let key = StoreKey::Versions;
                let call = StoreCall::CompareAndSwap { key, expected_revision, value };
                (Purpose::VersionsWrite(content), call)
            }
        };
        let ticket = members.store_calls.begin(purpose);
        out.push(Command::CallStore(ticket, call));
    }
}
