package lupinvalve.core;

/** One attempt to have a request served by one db node. Core thread only. */
final class Attempt {
    final OpenRequest request;
    /** 0 for the first attempt of the request, then counted up. */
    final int number;

    final String node;
    /** When it was handed to its backend, in Unix microseconds. */
    final long startedAtMicros;
    /** When its request was written, in Unix microseconds; 0 where it was not. */
    long writtenAtMicros;

    /** Its handle in {@link AttemptTable}, which sets it. */
    long handle;

    /** Abandons the attempt when it fires; set by {@link AttemptTable}. */
    TimerQueue.Timer timeout;

    Attempt(OpenRequest request, int number, String node, long startedAtMicros) {
        this.request = request;
        this.number = number;
        this.node = node;
        this.startedAtMicros = startedAtMicros;
    }
}
