package lupinvalve.core;

import lupinvalve.maintenance.Metrics;

/** How a request ended, as the log and the metrics name it. */
enum RequestOutcome {
    /** With a db node's complete answer. */
    SERVED("served", Metrics.Result.SERVED),
    /** With an answer that says that a retry does no harm. */
    REJECTED("rejected", Metrics.Result.REJECTED),
    /** With an answer that promises nothing of the effect. */
    FAILED("failed", Metrics.Result.FAILED),
    /** The router left it open past its deadline. */
    OVERDUE("overdue", Metrics.Result.FAILED),
    /** A streamed answer broke off. */
    ABORTED("aborted", Metrics.Result.FAILED),
    /** Its client disconnected or cancelled it; counted under no result. */
    DISCONNECTED("disconnected", null);

    /** The outcome in the log. */
    final String text;
    /** What its client was answered, or null where there was nobody to answer. */
    final Metrics.Result result;

    RequestOutcome(String text, Metrics.Result result) {
        this.text = text;
        this.result = result;
    }
}
