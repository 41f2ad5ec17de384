package lupinvalve.drills;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.TreeMap;

/**
 * Checks what clients and members saw of one configuration with increasing revisions for linearizability. Of two calls
 * where the second began after the first had ended, a put must return a higher revision than the first call and a read
 * at least the same; and each revision must have the same content for all clients and members. Does no I/O. Safe for
 * concurrent use.
 */
public final class RevisionChecker {
    private record Call(long began, long ended, long revision, boolean put) {}

    private final List<Call> calls = new ArrayList<>();
    private final TreeMap<Long, String> contents = new TreeMap<>();
    private final TreeMap<Long, String> acknowledged = new TreeMap<>();
    private final List<String> divergent = new ArrayList<>();

    /** A put was acknowledged with the revision that it created. */
    public synchronized void put(long began, long ended, long revision, String digest) {
        calls.add(new Call(began, ended, revision, true));
        String other = acknowledged.putIfAbsent(revision, digest);
        if (other != null) {
            divergent.add("revision " + revision + " was acknowledged to two");
        }
        recordContent(revision, digest, "a client");
    }

    /** A read returned; revision 0 stands for no configuration. */
    public synchronized void read(long began, long ended, long revision, String digest) {
        calls.add(new Call(began, ended, revision, false));
        if (revision > 0) {
            recordContent(revision, digest, "a reader");
        }
    }

    /** A member has adopted a revision. */
    public synchronized void adopted(String member, long revision, String digest) {
        recordContent(revision, digest, member);
    }

    private void recordContent(long revision, String digest, String who) {
        String before = contents.putIfAbsent(revision, digest);
        if (before != null && !before.equals(digest)) {
            divergent.add("revision " + revision + " is " + before + ", and " + digest + " to " + who);
        }
    }

    /** How many revisions were acknowledged to a put. */
    public synchronized int acknowledged() {
        return acknowledged.size();
    }

    /** How many acknowledged puts are missing, given the last revision read at the end. */
    public synchronized int lost(long last) {
        return (int) acknowledged.entrySet().stream()
                .filter(one -> one.getKey() > last || !one.getValue().equals(contents.get(one.getKey())))
                .count();
    }

    /** All that clients or members saw that contradicts a single linearizable history. */
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
