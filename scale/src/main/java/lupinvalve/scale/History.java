package lupinvalve.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.drills.RevisionChecker;

/**
 * Judges whether all acted on one history that a majority accepted: one content a revision, nothing acknowledged is
 * lost, and nothing is acted on that the group does not know of at the end. Without I/O.
 */
final class History {
    private final RevisionChecker revisions = new RevisionChecker();
    private final Map<Long, String> proposed = new TreeMap<>();
    private final Map<Long, String> actedOn = new TreeMap<>();
    private final List<String> findings = new ArrayList<>();
    private long last;

    /** A document was put against the revision before this one. */
    synchronized void proposed(long revision, String digest) {
        proposed.merge(revision, digest, (a, b) -> a.contains(b) ? a : a + " " + b);
    }

    synchronized void acknowledged(long beganNanos, long endedNanos, long revision, String digest) {
        revisions.put(beganNanos, endedNanos, revision, digest);
    }

    /** A read that must be as new as all that was acknowledged before. */
    synchronized void read(long beganNanos, long endedNanos, long revision, String digest) {
        revisions.read(beganNanos, endedNanos, revision, digest);
        last = Math.max(last, revision);
    }

    /** A pooler acts on a revision. */
    synchronized void adopted(String pooler, long revision, String digest) {
        revisions.adopted(pooler, revision, digest);
        actedOn.putIfAbsent(revision, pooler);
        String known = proposed.get(revision);
        if (known == null || !known.contains(digest)) {
            findings.add(pooler + " acts on revision " + revision + " with " + digest + ", which nobody put");
        }
    }

    /** What was acted on or read that does not fit one accepted history; after the last read. */
    synchronized List<String> divergent() {
        List<String> all = new ArrayList<>(findings);
        all.addAll(revisions.divergent());
        actedOn.forEach((revision, pooler) -> {
            if (revision > last) {
                all.add(pooler + " acted on revision " + revision + "; the group has come to " + last + " only");
            }
        });
        return all;
    }

    /** Acknowledged changes that the end does not know of; after the last read. */
    synchronized int lost() {
        return revisions.lost(last);
    }

    /** How many changes were acknowledged. */
    synchronized int count() {
        return revisions.acknowledged();
    }
}
