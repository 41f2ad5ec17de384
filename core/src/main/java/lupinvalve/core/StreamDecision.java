package lupinvalve.core;

/** What a backend is to do with an answer whose first part has arrived. */
public enum StreamDecision {
    /** Pass each further chunk to {@link Pooler#answerChunk}. */
    PASS_ON,
    /** Buffer it and report it when it is complete: its end decides whether the client may get it. */
    BUFFER,
    /** Discard it: no client is waiting for it any more. */
    DROP
}
