package lupinvalve.core;

import java.util.function.Consumer;
import lupinvalve.log.Log;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.ServerRole;

/** Forwards answers to clients while they arrive from db nodes, and aborts those that stall. Core thread only. */
final class StreamedAnswers {
    /** A streamed answer is aborted if no chunk of it arrives within this time. */
    private static final long STALL_TIMEOUT_MICROS = 15_000_000;
    /** Interval of the checks of a streamed answer once its client's time is over. */
    private static final long LATE_CHECK_MICROS = 200_000;
    /** Such checks in a row that find its db node silent while the client reads, after which it is aborted. */
    private static final int LATE_SILENT_CHECKS_COUNT = 2;

    /**
     * What the last check of a streamed answer saw.
     *
     * @param chunks chunks that had been forwarded
     * @param sinceMicros when a check last saw a further chunk, or the answer's start
     * @param silentChecks checks in a row, after the client's time, that found the db node silent
     */
    private record Progress(long chunks, long sinceMicros, int silentChecks) {}

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
     * Handles the start of an answer. If the answer is forwarded, the router is notified at once that the request was
     * served: how long a client takes to read the rest says nothing about the db node.
     *
     * @param first what has been received so far, in the protocol's own form
     * @param retainsTokens whether this pooler stores session tokens, which stand at the end of the answers to writes
     */
    StreamDecision start(long handle, Object first, Backend.StreamSource source, boolean retainsTokens) {
        Attempt attempt = attempts.get(handle);
        if (attempt == null || attempt.request.closed || attempt.request.streamingAttempt != null) {
            return StreamDecision.DROP;
        }
        OpenRequest request = attempt.request;
        // The log position at an answer's end shows whether a read is fresh enough; for a write it is the session
        // token.
        if (request.rememberedTokenMicros > 0 || retainsTokens && request.isWrite()) {
            return StreamDecision.BUFFER;
        }
        request.streamingAttempt = attempt;
        loop.cancel(attempt.timeout);
        loop.cancel(request.watchdog);
        watchForStall(request, new Progress(0, loop.now(), 0));
        request.frontend.answerStarted(request.ticket, first, source);
        if (!request.closed) {
            router.accept(new RouterEvent.AttemptEnded(
                    request.routerId,
                    attempt.number,
                    attempt.node,
                    AttemptOutcome.SERVED,
                    loop.now() - attempt.startedAtMicros,
                    true,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
        }
        return StreamDecision.PASS_ON;
    }

    /** Forwards a further chunk of an answer; ignored unless the answer is being forwarded. */
    void chunk(long handle, byte[] chunk) {
        Attempt attempt = attempts.get(handle);
        if (attempt != null && attempt.request.streamingAttempt == attempt) {
            attempt.request.forwardedChunks++;
            attempt.request.frontend.answerChunk(attempt.request.ticket, chunk);
        }
    }

    /** Handles the end of the attempt whose answer is being forwarded. */
    void end(OpenRequest request, AttemptOutcome outcome, Object rest, long position, ServerRole role) {
        if (outcome == AttemptOutcome.SERVED) {
            requests.close(request, RequestOutcome.SERVED);
            request.frontend.served(request.ticket, rest, position, role);
        } else {
            requests.close(request, RequestOutcome.ABORTED);
            request.frontend.answerAborted(request.ticket);
        }
    }

    /** Handles the disconnect of a client to which an answer is being forwarded. */
    void clientDisconnected(OpenRequest request) {
        attempts.discard(request.streamingAttempt);
        requests.close(request, RequestOutcome.DISCONNECTED);
    }

    /**
     * Aborts an answer that stalls, whether the db node has stopped sending or the client has stopped reading. Once the
     * client's time is over, its db node may not be silent for long: a client that reads waits for nothing else.
     */
    private void watchForStall(OpenRequest request, Progress last) {
        long remainingMicros = request.deadlineMicros - loop.now();
        boolean isLate = remainingMicros <= 0;
        long delayMicros = isLate ? LATE_CHECK_MICROS : Math.min(STALL_TIMEOUT_MICROS, remainingMicros);
        request.watchdog = loop.after(delayMicros, () -> check(request, last, isLate));
    }

    private void check(OpenRequest request, Progress last, boolean isLate) {
        long now = loop.now();
        boolean hasAdvanced = request.forwardedChunks > last.chunks();
        boolean isSilent = isLate && !hasAdvanced && !request.frontend.isAnswerPaused(request.ticket);
        Progress progress = new Progress(
                request.forwardedChunks,
                hasAdvanced ? now : last.sinceMicros(),
                isSilent ? last.silentChecks() + 1 : 0);
        if (progress.silentChecks() < LATE_SILENT_CHECKS_COUNT && now - progress.sinceMicros() < STALL_TIMEOUT_MICROS) {
            watchForStall(request, progress);
            return;
        }
        Log.warn(
                "request %s: no chunk of its streamed answer within %d us, %d us after its client's time, aborting the answer",
                request.routerId, now - progress.sinceMicros(), now - request.deadlineMicros);
        attempts.abandon(request.streamingAttempt, AttemptOutcome.TIMED_OUT);
    }
}
