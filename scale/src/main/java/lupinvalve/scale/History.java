package lupinvalve.scale;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import lupinvalve.drills.RevisionChecker;

/**
 * Checks that all poolers acted on a single history that a majority accepted: one content per revision, no acknowledged
 * change lost, and no pooler acting on a revision that the group does not have at the end. Without I/O.
 */
final class History {
    private final RevisionChecker revisions = new RevisionChecker();
    private final Map<Long, String> proposedDigests = new TreeMap<>();
    private final Map<Long, String> firstPoolerByRevision = new TreeMap<>();
    private final List<String> findings = new ArrayList<>();
    private long lastReadRevision;

    /** Records that a document was proposed as this revision, with the revision before it as precondition. */
    synchronized void proposed(long revision, String digest) {
        proposedDigests.merge(revision, digest, (a, b) -> a.contains(b) ? a : a + " " + b);
    }

    synchronized void acknowledged(long beganNanos, long endedNanos, long revision, String digest) {
        revisions.put(beganNanos, endedNanos, revision, digest);
    }

    /**
     * Records a linearizable read, which must return a revision at least as new as every one acknowledged before it
     * began.
     */
    synchronized void read(long beganNanos, long endedNanos, long revision, String digest) {
        revisions.read(beganNanos, endedNanos, revision, digest);
        lastReadRevision = Math.max(lastReadRevision, revision);
    }

    /** Records that a pooler acts on a revision. */
    synchronized void adopted(String pooler, long revision, String digest) {
        revisions.adopted(pooler, revision, digest);
        firstPoolerByRevision.putIfAbsent(revision, pooler);
        String known = proposedDigests.get(revision);
        if (known == null || !known.contains(digest)) {
            findings.add(pooler + " acts on revision " + revision + " with " + digest + ", which nobody put");
        }
    }

    /** Returns what was acted on or read and does not fit a single accepted history. Call after the last read. */
    synchronized List<String> divergent() {
        List<String> all = new ArrayList<>(findings);
        all.addAll(revisions.divergent());
        firstPoolerByRevision.forEach((revision, pooler) -> {
            if (revision > lastReadRevision) {
                all.add(pooler + " acted on revision " + revision + "; the group has come to " + lastReadRevision
                        + " only");
            }
        });
        return all;
    }

    /** Returns the number of acknowledged changes that the final state does not contain. Call after the last read. */
    synchronized int lost() {
        return revisions.lost(lastReadRevision);
    }

    /** Returns the number of acknowledged changes. */
    synchronized int count() {
        return revisions.acknowledged();
    }
}
