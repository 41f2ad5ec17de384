package lupinvalve.core;

/** What a backend does with a streamed answer whose first bytes have come. */
public enum StreamDecision {
    /** Hand each further chunk to {@link Pooler#answerChunk}. */
    PASS_ON,
    /** Buffer it and report it whole: its end decides whether the client may have it. */
    BUFFER,
    /** Nobody waits for it any more. */
    DROP
}
