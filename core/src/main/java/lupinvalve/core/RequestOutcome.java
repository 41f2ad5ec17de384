package lupinvalve.core;

import lupinvalve.maintenance.Metrics;

/** How a request ended, with its names in the log and in the metrics. */
enum RequestOutcome {
    /** With a db node's complete answer. */
    SERVED("served", Metrics.Result.SERVED),
    /** With an answer that states that a retry is safe. */
    REJECTED("rejected", Metrics.Result.REJECTED),
    /** With an answer that leaves open whether the request took effect. */
    FAILED("failed", Metrics.Result.FAILED),
    /** The router left it open past its deadline, so the core failed it. */
    OVERDUE("overdue", Metrics.Result.FAILED),
    /** With an incomplete streamed answer. */
    ABORTED("aborted", Metrics.Result.FAILED),
    /** Without an answer, as its client disconnected or cancelled it; not counted in the metrics. */
    DISCONNECTED("disconnected", null);

    /** Name in the log. */
    final String text;
    /** Result in the metrics, or null if the client got no answer. */
    final Metrics.Result result;

    RequestOutcome(String text, Metrics.Result result) {
        this.text = text;
        this.result = result;
    }
}
