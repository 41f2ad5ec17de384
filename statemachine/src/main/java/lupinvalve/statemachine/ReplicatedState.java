package lupinvalve.statemachine;

import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Collections;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The agreed state: what the changes, one after another, come to. Deterministic: members that have applied the same
 * changes hold the same, whatever their clocks and versions say. Not safe for use by several threads.
 */
public final class ReplicatedState {
    /** Bounds of what operators and poolers may put in. */
    public static final int MAX_DOCUMENT_BYTES = 1 << 20,
            MAX_DRAINS = 1000,
            MAX_NAME_CHARS = 200,
            MAX_ENDPOINTS = 4096,
            MAX_MEMBER_ADDRESSES = 64,
            MAX_AUDIT_ENTRIES = 20_000,
            MAX_AUDIT_ENTRIES_PER_COMMAND = 200,
            MAX_AUDIT_ENTRY_BYTES = 2_000;

    /** How a change was taken. */
    public enum Result {
        APPLIED,
        UNCHANGED,
        CONFLICT,
        LIMIT_EXCEEDED
    }

    /** @param revision the configuration's, after the change */
    public record Outcome(Result result, long revision) {}

    /**
     * The configuration that a majority has accepted.
     *
     * @param index which change it was
     */
    public record Document(long revision, long index, String digest, byte[] content) {}

    /** Why and when something was held. */
    public record Drain(String reason, long sinceMicros) {}

    private long appliedIndex;
    private Document document;
    private final TreeMap<Command.DrainTarget, Drain> drains = new TreeMap<>();
    private final TreeMap<String, String> memberAddresses = new TreeMap<>();
    private final SessionTable sessions = new SessionTable();
    /** By pooler, life and number; those that came first go first once there are too many. */
    private final LinkedHashMap<String, byte[]> auditEntries = new LinkedHashMap<>();

    private Command.EndpointList endpointList = new Command.EndpointList(0, List.of());

    /** Takes the change with the given index of the history. */
    public Outcome apply(long index, Command change) {
        appliedIndex = index;
        Result result = take(index, change);
        return new Outcome(result, revision());
    }

    private Result take(long index, Command change) {
        if (change instanceof Command.PutDocument put) {
            return put(index, put);
        } else if (change instanceof Command.StartDrain hold) {
            return hold(hold);
        } else if (change instanceof Command.EndDrain release) {
            return drains.remove(release.target()) == null ? Result.UNCHANGED : Result.APPLIED;
        } else if (change instanceof Command.SessionCommits commits) {
            sessions.apply(commits.atMicros(), commits.positions());
        } else if (change instanceof Command.EndpointList next) {
            if (next.revision() <= endpointList.revision()) {
                return Result.UNCHANGED;
            }
            if (next.endpoints().size() > MAX_ENDPOINTS) {
                return Result.LIMIT_EXCEEDED;
            }
            endpointList = next;
        } else if (change instanceof Command.AppendAudit news) {
            return note(news);
        } else if (change instanceof Command.SetMemberAddress place) {
            return place(place);
        } else {
            return Result.UNCHANGED;
        }
        return Result.APPLIED;
    }

    private Result put(long index, Command.PutDocument put) {
        if (put.expectedRevision() != revision()) {
            return Result.CONFLICT;
        }
        if (put.document().length > MAX_DOCUMENT_BYTES) {
            return Result.LIMIT_EXCEEDED;
        }
        document = new Document(revision() + 1, index, digest(put.document()), put.document());
        return Result.APPLIED;
    }

    private Result hold(Command.StartDrain hold) {
        if (drains.containsKey(hold.target())) {
            return Result.UNCHANGED;
        }
        if (drains.size() >= MAX_DRAINS
                || hold.target().name().length() > MAX_NAME_CHARS
                || hold.reason().length() > MAX_NAME_CHARS) {
            return Result.LIMIT_EXCEEDED;
        }
        drains.put(hold.target(), new Drain(hold.reason(), hold.atMicros()));
        return Result.APPLIED;
    }

    private Result note(Command.AppendAudit news) {
        if (news.entries().size() > MAX_AUDIT_ENTRIES_PER_COMMAND
                || news.pooler().length() > MAX_NAME_CHARS
                || news.entries().stream().anyMatch(entry -> entry.length > MAX_AUDIT_ENTRY_BYTES)) {
            return Result.LIMIT_EXCEEDED;
        }
        long number = news.firstNumber();
        for (byte[] entry : news.entries()) {
            auditEntries.putIfAbsent(news.pooler() + "/" + news.incarnation() + "/" + number++, entry);
        }
        Iterator<byte[]> eldest = auditEntries.values().iterator();
        while (auditEntries.size() > MAX_AUDIT_ENTRIES) {
            eldest.next();
            eldest.remove();
        }
        return Result.APPLIED;
    }

    /** What poolers noted of themselves, by pooler, life and number, in the order in which it came. */
    public Map<String, byte[]> auditEntries() {
        return Collections.unmodifiableMap(auditEntries);
    }

    private Result place(Command.SetMemberAddress place) {
        if (place.address().equals(memberAddresses.get(place.member()))) {
            return Result.UNCHANGED;
        }
        if (place.address().isEmpty()) {
            return memberAddresses.remove(place.member()) == null ? Result.UNCHANGED : Result.APPLIED;
        }
        if (memberAddresses.size() >= MAX_MEMBER_ADDRESSES && !memberAddresses.containsKey(place.member())
                || place.member().length() > MAX_NAME_CHARS
                || place.address().length() > MAX_NAME_CHARS) {
            return Result.LIMIT_EXCEEDED;
        }
        memberAddresses.put(place.member(), place.address());
        return Result.APPLIED;
    }

    /** Which change was applied last. */
    public long appliedIndex() {
        return appliedIndex;
    }

    /** The configuration that holds, or null. */
    public Document document() {
        return document;
    }

    /** The configuration's revision, or 0. */
    public long revision() {
        return document == null ? 0 : document.revision();
    }

    public Map<Command.DrainTarget, Drain> drains() {
        return new TreeMap<>(drains);
    }

    public Map<String, String> memberAddresses() {
        return new TreeMap<>(memberAddresses);
    }

    public Command.EndpointList endpointList() {
        return endpointList;
    }

    public int sessionCount() {
        return sessions.size();
    }

    SessionTable sessions() {
        return sessions;
    }

    /** Becomes what a snapshot says. */
    void restore(
            long index,
            Document accepted,
            Map<Command.DrainTarget, Drain> held,
            Map<String, String> placed,
            Command.EndpointList listed,
            Map<String, byte[]> notes) {
        auditEntries.clear();
        auditEntries.putAll(notes);
        appliedIndex = index;
        document = accepted;
        drains.clear();
        drains.putAll(held);
        memberAddresses.clear();
        memberAddresses.putAll(placed);
        endpointList = listed;
        sessions.clear();
    }

    /** What names a document's content in logs: the beginning of its SHA-256. */
    public static String digest(byte[] content) {
        try {
            return HexFormat.of().formatHex(MessageDigest.getInstance("SHA-256").digest(content), 0, 8);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(e);
        }
    }
}
