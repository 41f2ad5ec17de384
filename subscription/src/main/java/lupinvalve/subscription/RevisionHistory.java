package lupinvalve.subscription;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.ReplicatedState;

/** The current document and a bounded number of deltas from earlier revisions to it. Confined to one thread. */
public final class RevisionHistory {
    /** Maximum number of retained deltas. */
    public static final int DELTAS_MAX_COUNT = 256;
    /** Maximum total size of the retained deltas. */
    public static final int DELTAS_MAX_BYTES = 1 << 20;

    /** The delta from one revision to the next one. */
    private record RevisionStep(long fromRevision, String fromDigest, DocumentDelta delta) {}

    private final ArrayDeque<RevisionStep> steps = new ArrayDeque<>();
    private long retainedBytes;
    private ReplicatedState.Document current;

    /** Adds a document that a majority has accepted. One of the current revision or an older one is ignored. */
    public void onAccepted(ReplicatedState.Document next) {
        if (next == null || current != null && next.revision() <= current.revision()) {
            return;
        }
        if (current != null && next.revision() == current.revision() + 1) {
            DocumentDelta delta = DocumentDelta.between(current.content(), next.content());
            steps.addLast(new RevisionStep(current.revision(), current.digest(), delta));
            retainedBytes += delta.sizeBytes();
        } else {
            // A snapshot may skip revisions.
            steps.clear();
            retainedBytes = 0;
        }
        current = next;
        while (steps.size() > DELTAS_MAX_COUNT || retainedBytes > DELTAS_MAX_BYTES) {
            retainedBytes -= steps.removeFirst().delta().sizeBytes();
        }
    }

    /** The current document, or null. */
    public ReplicatedState.Document current() {
        return current;
    }

    /**
     * The deltas from a revision with a given digest to the current one, oldest first; null if they are not retained or
     * not smaller than the full document.
     */
    public List<DocumentDelta> since(long revision, String digest) {
        List<DocumentDelta> deltas = new ArrayList<>();
        long sizeBytes = 0;
        boolean found = false;
        for (RevisionStep step : steps) {
            found |= step.fromRevision() == revision && step.fromDigest().equals(digest);
            if (found) {
                deltas.add(step.delta());
                sizeBytes += step.delta().sizeBytes();
            }
        }
        return found && sizeBytes < current.content().length ? deltas : null;
    }
}
