package lupinvalve.subscription;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import lupinvalve.statemachine.ReplicatedState;

/**
 * Creates responses whose deltas produce a wrong document, as if member and subscriber had started from different ones.
 */
final class CorruptedResponse {
    private CorruptedResponse() {}

    /**
     * Returns the response with one extra byte at the end of its last delta.
     *
     * @param applied the document that the deltas start from
     * @param matchingDigest whether the digest matches the wrong result, as if the subscriber did not check it
     */
    static WatchResponse of(WatchResponse response, ReplicatedState.Document applied, boolean matchingDigest) {
        WatchResponse.Event.Deltas event = (WatchResponse.Event.Deltas) response.event();
        List<DocumentDelta> deltas = new ArrayList<>(event.deltas());
        List<DocumentDelta.Instruction> instructions =
                new ArrayList<>(deltas.remove(deltas.size() - 1).instructions());
        instructions.add(new DocumentDelta.Instruction(0, 0, new byte[] {'?'}));
        deltas.add(new DocumentDelta(instructions));
        String digest = matchingDigest ? resultDigest(applied, deltas) : event.digest();
        return new WatchResponse(
                response.leaseMicros(),
                response.queuedMicros(),
                response.leaseDenial(),
                response.completeIndex(),
                response.retryAfterMillis(),
                new WatchResponse.Event.Deltas(event.revision(), event.index(), digest, deltas),
                response.drains());
    }

    private static String resultDigest(ReplicatedState.Document applied, List<DocumentDelta> deltas) {
        byte[] content = applied == null ? new byte[0] : applied.content();
        try {
            for (DocumentDelta delta : deltas) {
                content = delta.apply(content);
            }
        } catch (IOException e) {
            return "none";
        }
        return ReplicatedState.digest(content);
    }
}
