package lupinvalve.statemachine;

import java.util.Collections;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The replicated state machine: the state that results from applying the log's commands in order. Deterministic:
 * members that have applied the same commands have the same state, whatever their clocks and versions. Not thread-safe.
 */
public final class ReplicatedState {
    /** Maximum size of a configuration document. */
    public static final int MAX_DOCUMENT_BYTES = 1 << 20;
    /** Maximum number of drains in effect. */
    public static final int MAX_DRAINS = 1000;
    /** Maximum length of a name, an address or a drain's reason. */
    public static final int MAX_NAME_CHARS = 200;
    /** Maximum number of db nodes in the endpoint list. */
    public static final int MAX_ENDPOINTS = 4096;
    /** Maximum number of members with an address. */
    public static final int MAX_MEMBER_ADDRESSES = 64;
    /** Maximum number of retained audit entries; the oldest are evicted first. */
    public static final int MAX_AUDIT_ENTRIES = 20_000;
    /** Maximum number of audit entries in one command. */
    public static final int MAX_AUDIT_ENTRIES_PER_COMMAND = 200;
    /** Maximum size of an encoded audit entry. */
    public static final int MAX_AUDIT_ENTRY_BYTES = 2_000;

    private static final int DIGEST_BYTES = 8;

    /** Result of applying a command. */
    public enum Result {
        /** The state has changed. */
        APPLIED,
        /** The state already was as requested, or newer; nothing has changed. */
        UNCHANGED,
        /** The revision of the current configuration document is not the expected one. */
        CONFLICT,
        /** One of the limits of {@link ReplicatedState} would be exceeded. */
        LIMIT_EXCEEDED
    }

    /** @param revision of the configuration document after the command, 0 if there is none */
    public record Outcome(Result result, long revision) {}

    /**
     * A committed configuration document.
     *
     * @param revision increases by one with each document
     * @param index of the log entry that stored it
     * @param digest identifies the content, see {@link ReplicatedState#digest}
     */
    public record Document(long revision, long index, String digest, byte[] content) {}

    /**
     * A drain that operators started.
     *
     * @param sinceMicros when the operator started it, Unix time
     */
    public record Drain(String reason, long sinceMicros) {}

    /** The whole state except the sessions, as read from a snapshot. */
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
    /** Keyed by pooler, incarnation and number, in the order in which they were applied. */
    private final LinkedHashMap<String, byte[]> auditEntries = new LinkedHashMap<>();

    private Command.EndpointList endpointList = new Command.EndpointList(0, List.of());

    /**
     * Applies a committed command.
     *
     * @param index of the command's log entry
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

    /** Index of the last applied log entry. */
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

    /** Drains in effect; a copy. */
    public Map<Command.DrainTarget, Drain> drains() {
        return new TreeMap<>(drains);
    }

    /** Address of each member by its name; a copy. */
    public Map<String, String> memberAddresses() {
        return new TreeMap<>(memberAddresses);
    }

    /** The newest endpoint list. */
    public Command.EndpointList endpointList() {
        return endpointList;
    }

    /** Audit entries by "pooler/incarnation/number", in order of application; a read-only view. */
    public Map<String, byte[]> auditEntries() {
        return Collections.unmodifiableMap(auditEntries);
    }

    /** Number of sessions with a retained last commit. */
    public int sessionCount() {
        return sessions.size();
    }

    /** The last commits of all sessions, as one command. */
    public Command.SessionCommits sessionCommits() {
        Map<String, Long> positions = new HashMap<>();
        sessions.forEachOldestFirst(positions::put);
        return new Command.SessionCommits(sessions.latestMicros(), positions);
    }

    SessionTable sessions() {
        return sessions;
    }

    /** Replaces the whole state; the session table is empty afterwards. */
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

    /** Identifies a document's content: a prefix of its SHA-256, in hex. */
    public static String digest(byte[] content) {
        return Digests.sha256Hex(content, DIGEST_BYTES);
    }
}
