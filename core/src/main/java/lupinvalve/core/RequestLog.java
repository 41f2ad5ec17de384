package lupinvalve.core;

import lupinvalve.log.Log;
import lupinvalve.routing.AttemptOutcome;

/**
 * Logs how requests and attempts end: each of them at level DEBUG, and a summary at level INFO, 5 s after the first one
 * that was not served. Core thread only.
 */
final class RequestLog {
    private static final long SUMMARY_PERIOD_MICROS = 5_000_000;

    private final EventLoop loop;
    private final RequestSummary summary = new RequestSummary();
    private final LateRequestLog lateRequests = new LateRequestLog();
    private boolean summaryScheduled;

    RequestLog(EventLoop loop) {
        this.loop = loop;
    }

    void requestEnded(OpenRequest open, RequestOutcome outcome) {
        if (Log.isDebugEnabled()) {
            ClientRequest request = open.request;
            Log.debug(
                    "request %s: class %s, %s after %d us, group %d, %d attempts, first attempt after %d us, timeout %d us",
                    open.routerId,
                    open.requestClass.name(),
                    outcome.text,
                    loop.now() - request.arrivedAtMicros(),
                    request.group(),
                    open.attemptCount,
                    open.attemptCount == 0 ? -1 : open.firstAttemptAtMicros - request.arrivedAtMicros(),
                    request.timeoutMicros());
        }
        lateRequests.ended(open, outcome, loop.now());
        if (summary.requestEnded(outcome)) {
            scheduleSummary();
        }
    }

    /** A request was rejected before it was submitted. */
    void refused(RefusalReason reason) {
        summary.refused(reason);
        scheduleSummary();
    }

    void attemptStarted(Attempt attempt) {
        summary.attemptStarted(attempt.number);
    }

    void attemptEnded(Attempt attempt, AttemptOutcome outcome, long nowMicros) {
        recordWaits(attempt, nowMicros);
        if (Log.isDebugEnabled()) {
            Log.debug(
                    "request %s, attempt %d: db node %s, %s after %d us",
                    attempt.request.routerId,
                    attempt.number,
                    attempt.node,
                    outcome,
                    nowMicros - attempt.startedAtMicros);
        }
        if (summary.attemptEnded(outcome, attempt.node)) {
            scheduleSummary();
        }
    }

    private void recordWaits(Attempt attempt, long nowMicros) {
        OpenRequest request = attempt.request;
        boolean wasWritten = attempt.writtenAtMicros > 0;
        long answerWaitMicros = loop.currentTaskDelayMicros();
        request.answerWaitMicros += answerWaitMicros;
        request.connectionWaitMicros += (wasWritten ? attempt.writtenAtMicros : nowMicros) - attempt.startedAtMicros;
        request.nodeMicros += wasWritten ? Math.max(0, nowMicros - answerWaitMicros - attempt.writtenAtMicros) : 0;
    }

    private void scheduleSummary() {
        if (!summaryScheduled) {
            summaryScheduled = true;
            loop.after(SUMMARY_PERIOD_MICROS, () -> {
                summaryScheduled = false;
                Log.info("requests: %s", summary.take());
            });
        }
    }
}
