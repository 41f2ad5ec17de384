package lupinvalve.statemachine;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state machine: the state that the log's commands, one after another, come to. Deterministic: members
 * that have applied the same commands have the same state, whatever their clocks and versions. Not thread-safe.
 */
public final class ReplicatedState {
    /** Size of a configuration document at most. */
    public static final int MAX_DOCUMENT_BYTES = 1 << 20;
    /** Drains under way at once at most. */
    public static final int MAX_DRAINS = 1000;
    /** Length of a name, an address or a drain's reason at most. */
    public static final int MAX_NAME_CHARS = 200;
    /** Db nodes in the endpoint list at most. */
    public static final int MAX_ENDPOINTS = 4096;
    /** Members with an address at most. */
    public static final int MAX_MEMBER_ADDRESSES = 64;
    /** Audit entries retained at most; the oldest go first. */
    public static final int MAX_AUDIT_ENTRIES = 20_000;
    /** Audit entries of one command at most. */
    public static final int MAX_AUDIT_ENTRIES_PER_COMMAND = 200;
    /** Size of an audit entry at most. */
    public static final int MAX_AUDIT_ENTRY_BYTES = 2_000;

    private static final int DIGEST_BYTES = 8;

    /** What became of a command. */
    public enum Result {
        /** The state has changed. */
        APPLIED,
        /** The state was so already. */
        UNCHANGED,
        /** The configuration document has another revision than expected. */
        CONFLICT,
        /** One of the bounds above would be exceeded. */
        LIMIT_EXCEEDED
    }

    /** @param revision of the configuration document, after the command */
    public record Outcome(Result result, long revision) {}

    /**
     * A committed configuration document.
     *
     * @param revision counts up by one with each document
     * @param index of the log entry that put it
     * @param digest names the content in logs, see {@link ReplicatedState#digest}
     */
    public record Document(long revision, long index, String digest, byte[] content) {}

    /**
     * A drain that operators started.
     *
     * @param sinceMicros Unix time
     */
    public record Drain(String reason, long sinceMicros) {}

    /** All of the state but the sessions, as a snapshot has it. */
    record Contents(
            long appliedIndex,
            Document document,
            Map<Command.DrainTarget, Drain> drains,
            Map<String, String> memberAddresses,
            Command.EndpointList endpointList,
            Map<String, byte[]> auditEntries) {}

    private long appliedIndex;
    private Document document;
    private final TreeMap<Command.DrainTarget, Drain> drains = new TreeMap<>();
    private final TreeMap<String, String> memberAddresses = new TreeMap<>();
    private final SessionTable sessions = new SessionTable();
    /** By pooler, incarnation and number, in the order of arrival. */
    private final LinkedHashMap<String, byte[]> auditEntries = new LinkedHashMap<>();

    private Command.EndpointList endpointList = new Command.EndpointList(0, List.of());

    /**
     * Applies a committed command.
     *
     * @param index of its log entry
     */
    public Outcome apply(long index, Command command) {
        appliedIndex = index;
        Result result = dispatch(index, command);
        return new Outcome(result, revision());
    }

    private Result dispatch(long index, Command command) {
        if (command instanceof Command.PutDocument put) {
            return putDocument(index, put);
        } else if (command instanceof Command.StartDrain start) {
            return startDrain(start);
        } else if (command instanceof Command.EndDrain end) {
            return drains.remove(end.target()) == null ? Result.UNCHANGED : Result.APPLIED;
        } else if (command instanceof Command.SessionCommits commits) {
            sessions.apply(commits.atMicros(), commits.positions());
            return Result.APPLIED;
        } else if (command instanceof Command.EndpointList list) {
            return setEndpointList(list);
        } else if (command instanceof Command.AppendAudit append) {
            return appendAudit(append);
        } else if (command instanceof Command.SetMemberAddress set) {
            return setMemberAddress(set);
        } else {
            return Result.UNCHANGED;
        }
    }

    private Result putDocument(long index, Command.PutDocument put) {
        if (put.expectedRevision() != revision()) {
            return Result.CONFLICT;
        }
        if (put.document().length > MAX_DOCUMENT_BYTES) {
            return Result.LIMIT_EXCEEDED;
        }
        document = new Document(revision() + 1, index, digest(put.document()), put.document());
        return Result.APPLIED;
    }

    private Result startDrain(Command.StartDrain start) {
        if (drains.containsKey(start.target())) {
            return Result.UNCHANGED;
        }
        if (drains.size() >= MAX_DRAINS
                || start.target().name().length() > MAX_NAME_CHARS
                || start.reason().length() > MAX_NAME_CHARS) {
            return Result.LIMIT_EXCEEDED;
        }
        drains.put(start.target(), new Drain(start.reason(), start.atMicros()));
        return Result.APPLIED;
    }

    private Result setEndpointList(Command.EndpointList list) {
        if (list.revision() <= endpointList.revision()) {
            return Result.UNCHANGED;
        }
        if (list.endpoints().size() > MAX_ENDPOINTS) {
            return Result.LIMIT_EXCEEDED;
        }
        endpointList = list;
        return Result.APPLIED;
    }

    private Result appendAudit(Command.AppendAudit append) {
        if (append.entries().size() > MAX_AUDIT_ENTRIES_PER_COMMAND
                || append.pooler().length() > MAX_NAME_CHARS
                || append.entries().stream().anyMatch(entry -> entry.length > MAX_AUDIT_ENTRY_BYTES)) {
            return Result.LIMIT_EXCEEDED;
        }
        long number = append.firstNumber();
        for (byte[] entry : append.entries()) {
            auditEntries.putIfAbsent(append.pooler() + "/" + append.incarnation() + "/" + number++, entry);
        }
        Iterator<byte[]> eldest = auditEntries.values().iterator();
        while (auditEntries.size() > MAX_AUDIT_ENTRIES) {
            eldest.next();
            eldest.remove();
        }
        return Result.APPLIED;
    }

    private Result setMemberAddress(Command.SetMemberAddress set) {
        if (set.address().equals(memberAddresses.get(set.member()))) {
            return Result.UNCHANGED;
        }
        if (set.address().isEmpty()) {
            return memberAddresses.remove(set.member()) == null ? Result.UNCHANGED : Result.APPLIED;
        }
        if (memberAddresses.size() >= MAX_MEMBER_ADDRESSES && !memberAddresses.containsKey(set.member())
                || set.member().length() > MAX_NAME_CHARS
                || set.address().length() > MAX_NAME_CHARS) {
            return Result.LIMIT_EXCEEDED;
        }
        memberAddresses.put(set.member(), set.address());
        return Result.APPLIED;
    }

    /** Index of the log entry that was applied last. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** The current configuration document, or null. */
    public Document document() {
        return document;
    }

    /** The current configuration document's revision, or 0. */
    public long revision() {
        return document == null ? 0 : document.revision();
    }

    /** Drains under way; a copy. */
    public Map<Command.DrainTarget, Drain> drains() {
        return new TreeMap<>(drains);
    }

    /** Where each member is reached, by the member's name; a copy. */
    public Map<String, String> memberAddresses() {
        return new TreeMap<>(memberAddresses);
    }

    /** The db nodes as the newest list has them. */
    public Command.EndpointList endpointList() {
        return endpointList;
    }

    /** Audit entries by "pooler/incarnation/number", in the order of arrival; a view. */
    public Map<String, byte[]> auditEntries() {
        return Collections.unmodifiableMap(auditEntries);
    }

    /** How many sessions have a commit that still counts. */
    public int sessionCount() {
        return sessions.size();
    }

    /** All sessions' commits as one command. */
    public Command.SessionCommits sessionCommits() {
        Map<String, Long> positions = new HashMap<>();
        sessions.forEachOldestFirst(positions::put);
        return new Command.SessionCommits(sessions.latestMicros(), positions);
    }

    SessionTable sessions() {
        return sessions;
    }

    /** Replaces the whole state; there are no sessions afterwards. */
    void restore(Contents contents) {
        auditEntries.clear();
        auditEntries.putAll(contents.auditEntries());
        appliedIndex = contents.appliedIndex();
        document = contents.document();
        drains.clear();
        drains.putAll(contents.drains());
        memberAddresses.clear();
        memberAddresses.putAll(contents.memberAddresses());
        endpointList = contents.endpointList();
        sessions.clear();
    }

    /** Names a document's content in logs: the beginning of its SHA-256, in hex. */
    public static String digest(byte[] content) {
        return Digests.sha256Hex(content, DIGEST_BYTES);
    }
}
