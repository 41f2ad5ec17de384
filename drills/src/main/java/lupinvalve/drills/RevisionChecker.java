package lupinvalve.drills;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Checks what clients and members saw of one configuration whose revisions count up. No I/O. With revisions, reads are
 * linearizable where no call that began after another had ended saw less than that one: a put must have come to more, a
 * read to as much; and where each revision has one content, whoever tells of it.
 */
public final class RevisionChecker {
    private record Call(long began, long ended, long revision, boolean put) {}

    private final List<Call> calls = new ArrayList<>();
    private final TreeMap<Long, String> contents = new TreeMap<>();
    private final TreeMap<Long, String> acknowledged = new TreeMap<>();
    private final List<String> divergent = new ArrayList<>();

    /** A put was acknowledged with the revision that it came to. */
    public synchronized void put(long began, long ended, long revision, String digest) {
        calls.add(new Call(began, ended, revision, true));
        String other = acknowledged.putIfAbsent(revision, digest);
        if (other != null) {
            divergent.add("revision " + revision + " was acknowledged to two");
        }
        content(revision, digest, "a client");
    }

    /** A read came back. */
    public synchronized void read(long began, long ended, long revision, String digest) {
        calls.add(new Call(began, ended, revision, false));
        if (revision > 0) {
            content(revision, digest, "a reader");
        }
    }

    /** A member acts on a revision. */
    public synchronized void adopted(String member, long revision, String digest) {
        content(revision, digest, member);
    }

    private void content(long revision, String digest, String who) {
        String before = contents.putIfAbsent(revision, digest);
        if (before != null && !before.equals(digest)) {
            divergent.add("revision " + revision + " is " + before + ", and " + digest + " to " + who);
        }
    }

    public synchronized int acknowledged() {
        return acknowledged.size();
    }

    /** Acknowledged puts that the end does not know of. */
    public synchronized int lost(long last) {
        return (int) acknowledged.entrySet().stream()
                .filter(one -> one.getKey() > last || !one.getValue().equals(contents.get(one.getKey())))
                .count();
    }

    /** What members or clients saw that does not fit one history. */
    public synchronized List<String> divergent() {
        List<String> all = new ArrayList<>(divergent);
        List<Call> ended = new ArrayList<>(calls);
        ended.sort(Comparator.comparingLong(Call::ended));
        List<Call> began = new ArrayList<>(calls);
        began.sort(Comparator.comparingLong(Call::began));
        int next = 0;
        long seen = 0;
        for (Call call : began) {
            while (next < ended.size() && ended.get(next).ended() < call.began()) {
                seen = Math.max(seen, ended.get(next++).revision());
            }
            if (call.revision() < seen || call.put() && call.revision() == seen) {
                all.add((call.put() ? "a put came to " : "a read saw ") + call.revision() + " after " + seen);
            }
        }
        return all;
    }
}
