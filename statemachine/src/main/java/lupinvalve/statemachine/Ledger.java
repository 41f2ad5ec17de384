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
public final class Ledger {
    /** Bounds of what operators and poolers may put in. */
    public static final int DOCUMENT_MOST = 1 << 20,
            HOLDS_MOST = 1000,
            NAME_MOST = 200,
            LISTED_MOST = 4096,
            PLACES_MOST = 64,
            NOTED_MOST = 20_000,
            NOTED_AT_ONCE = 200,
            NOTE_MOST = 2_000;

    /** How a change was taken. */
    public enum Result {
        DONE,
        UNCHANGED,
        CONFLICT,
        TOO_MUCH
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
    public record Held(String why, long atMicros) {}

    private long applied;
    private Document document;
    private final TreeMap<Change.Holding, Held> holds = new TreeMap<>();
    private final TreeMap<String, String> places = new TreeMap<>();
    private final Sessions sessions = new Sessions();
    /** By pooler, life and number; those that came first go first once there are too many. */
    private final LinkedHashMap<String, byte[]> noted = new LinkedHashMap<>();

    private Change.Listing listing = new Change.Listing(0, List.of());

    /** Takes the change with the given index of the history. */
    public Outcome apply(long index, Change change) {
        applied = index;
        Result result = take(index, change);
        return new Outcome(result, revision());
    }

    private Result take(long index, Change change) {
        if (change instanceof Change.Put put) {
            return put(index, put);
        } else if (change instanceof Change.Hold hold) {
            return hold(hold);
        } else if (change instanceof Change.Release release) {
            return holds.remove(release.held()) == null ? Result.UNCHANGED : Result.DONE;
        } else if (change instanceof Change.Commits commits) {
            sessions.take(commits.atMicros(), commits.positions());
        } else if (change instanceof Change.Listing next) {
            if (next.revision() <= listing.revision()) {
                return Result.UNCHANGED;
            }
            if (next.nodes().size() > LISTED_MOST) {
                return Result.TOO_MUCH;
            }
            listing = next;
        } else if (change instanceof Change.Noted news) {
            return note(news);
        } else if (change instanceof Change.Place place) {
            return place(place);
        } else {
            return Result.UNCHANGED;
        }
        return Result.DONE;
    }

    private Result put(long index, Change.Put put) {
        if (put.expected() != revision()) {
            return Result.CONFLICT;
        }
        if (put.document().length > DOCUMENT_MOST) {
            return Result.TOO_MUCH;
        }
        document = new Document(revision() + 1, index, digest(put.document()), put.document());
        return Result.DONE;
    }

    private Result hold(Change.Hold hold) {
        if (holds.containsKey(hold.held())) {
            return Result.UNCHANGED;
        }
        if (holds.size() >= HOLDS_MOST
                || hold.held().name().length() > NAME_MOST
                || hold.why().length() > NAME_MOST) {
            return Result.TOO_MUCH;
        }
        holds.put(hold.held(), new Held(hold.why(), hold.atMicros()));
        return Result.DONE;
    }

    private Result note(Change.Noted news) {
        if (news.entries().size() > NOTED_AT_ONCE
                || news.pooler().length() > NAME_MOST
                || news.entries().stream().anyMatch(entry -> entry.length > NOTE_MOST)) {
            return Result.TOO_MUCH;
        }
        long number = news.first();
        for (byte[] entry : news.entries()) {
            noted.putIfAbsent(news.pooler() + "/" + news.life() + "/" + number++, entry);
        }
        Iterator<byte[]> eldest = noted.values().iterator();
        while (noted.size() > NOTED_MOST) {
            eldest.next();
            eldest.remove();
        }
        return Result.DONE;
    }

    /** What poolers noted of themselves, by pooler, life and number, in the order in which it came. */
    public Map<String, byte[]> noted() {
        return Collections.unmodifiableMap(noted);
    }

    private Result place(Change.Place place) {
        if (place.address().equals(places.get(place.member()))) {
            return Result.UNCHANGED;
        }
        if (place.address().isEmpty()) {
            return places.remove(place.member()) == null ? Result.UNCHANGED : Result.DONE;
        }
        if (places.size() >= PLACES_MOST && !places.containsKey(place.member())
                || place.member().length() > NAME_MOST
                || place.address().length() > NAME_MOST) {
            return Result.TOO_MUCH;
        }
        places.put(place.member(), place.address());
        return Result.DONE;
    }

    /** Which change was applied last. */
    public long applied() {
        return applied;
    }

    /** The configuration that holds, or null. */
    public Document document() {
        return document;
    }

    /** The configuration's revision, or 0. */
    public long revision() {
        return document == null ? 0 : document.revision();
    }

    public Map<Change.Holding, Held> holds() {
        return new TreeMap<>(holds);
    }

    public Map<String, String> places() {
        return new TreeMap<>(places);
    }

    public Change.Listing listing() {
        return listing;
    }

    public int sessionCount() {
        return sessions.size();
    }

    Sessions sessions() {
        return sessions;
    }

    /** Becomes what a snapshot says. */
    void restore(
            long index,
            Document accepted,
            Map<Change.Holding, Held> held,
            Map<String, String> placed,
            Change.Listing listed,
            Map<String, byte[]> notes) {
        noted.clear();
        noted.putAll(notes);
        applied = index;
        document = accepted;
        holds.clear();
        holds.putAll(held);
        places.clear();
        places.putAll(placed);
        listing = listed;
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
