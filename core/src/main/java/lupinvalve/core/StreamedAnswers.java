package lupinvalve.core;

import java.util.function.Consumer;
import lupinvalve.log.Log;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.ServerRole;

/** Passes answers on to their clients while they come from a db node, and ends those that stall. Core thread only. */
final class StreamedAnswers {
    /** A streamed answer of which nothing comes for so long is aborted. */
    private static final long STALL_TIMEOUT_MICROS = 15_000_000;

    private final EventLoop loop;
    private final RequestTable requests;
    private final AttemptTable attempts;
    private final Consumer<RouterEvent> router;

    StreamedAnswers(EventLoop loop, RequestTable requests, AttemptTable attempts, Consumer<RouterEvent> router) {
        this.loop = loop;
        this.requests = requests;
        this.attempts = attempts;
        this.router = router;
    }

    /**
     * An answer has started to come. Where it is passed on, the router is notified that the request was served: how
     * long a client takes to read the rest says nothing of the db node.
     *
     * @param retainsTokens whether this pooler remembers the tokens that writes' answers end with
     */
    StreamDecision start(long handle, Object first, Backend.StreamSource source, boolean retainsTokens) {
        Attempt attempt = attempts.get(handle);
        if (attempt == null || attempt.request.closed || attempt.request.streamed != null) {
            return StreamDecision.DROP;
        }
        OpenRequest request = attempt.request;
        // The log position at an answer's end decides whether a read is fresh enough, and is a write's session token.
        if (request.rememberedTokenMicros > 0 || retainsTokens && request.isWrite()) {
            return StreamDecision.BUFFER;
        }
        request.streamed = attempt;
        loop.cancel(attempt.timeout);
        loop.cancel(request.guard);
        watchForStall(request, 0);
        request.frontend.answerStarted(request.ticket, first, source);
        if (!request.closed) {
            router.accept(new RouterEvent.AttemptEnded(
                    request.routerId,
                    attempt.number,
                    attempt.node,
                    AttemptOutcome.SERVED,
                    loop.now() - attempt.sentAtMicros,
                    true,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
        }
        return StreamDecision.PASS_ON;
    }

    /** A further chunk of an answer; ignored unless it is passed on. */
    void chunk(long handle, byte[] chunk) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && attempt.request.streamed == attempt) {
            attempt.request.streamedChunks++;
            attempt.request.frontend.answerChunk(attempt.request.ticket, chunk);
        }
    }

    /** The attempt of an answer that is passed on has ended. */
    void end(OpenRequest request, AttemptOutcome outcome, Object rest, long position, ServerRole role) {
        if (outcome == AttemptOutcome.SERVED) {
            requests.close(request, RequestOutcome.SERVED);
            request.frontend.served(request.ticket, rest, position, role);
        } else {
            requests.close(request, RequestOutcome.ABORTED);
            request.frontend.answerAborted(request.ticket);
        }
    }

    /** The client of an answer that is passed on has disconnected. */
    void clientDisconnected(OpenRequest request) {
        attempts.discard(request.streamed);
        requests.close(request, RequestOutcome.DISCONNECTED);
    }

    /** Aborts an answer that stalls, whichever of its two peers it is that does. */
    private void watchForStall(OpenRequest request, long chunksBefore) {
        request.guard = loop.after(STALL_TIMEOUT_MICROS, () -> {
            if (request.streamedChunks > chunksBefore) {
                watchForStall(request, request.streamedChunks);
            } else {
                Log.warn("request %s: a streamed answer has stalled, aborted", request.routerId);
                attempts.abandon(request.streamed, AttemptOutcome.TIMED_OUT);
            }
        });
    }
}
