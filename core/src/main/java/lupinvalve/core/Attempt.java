package lupinvalve.core;

/** One attempt of a request at one db node. Core thread only. */
final class Attempt {
    final OpenRequest request;
    /** How many attempts of the request came before it. */
    final int number;

    final String node;
    final long sentAtMicros;
    /** Set by {@link AttemptTable}. */
    long handle;

    TimerQueue.Timer timeout;

    Attempt(OpenRequest request, int number, String node, long sentAtMicros) {
        this.request = request;
        this.number = number;
        this.node = node;
        this.sentAtMicros = sentAtMicros;
    }
}
