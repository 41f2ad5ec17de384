package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import lupinvalve.routing.RouterAction;

/** Maps the {@link RouterAction}s of one batch to the messages of its reply. Not thread-safe. */
final class ActionWriter implements Consumer<RouterAction> {
    private static final JsonFactory JSON = new JsonFactory();
    private static final int INITIAL_REPLY_BYTES = 512;

    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_REPLY_BYTES);
    private final JsonGenerator out;
    private int router;

    ActionWriter() {
        try {
            out = JSON.createGenerator(bytes);
            out.writeStartObject();
            out.writeArrayFieldStart("do");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Sets the router whose actions are written next. */
    void setRouter(int routerId) {
        router = routerId;
    }

    @Override
    public void accept(RouterAction action) {
        try {
            write(action);
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    private void write(RouterAction action) throws IOException {
        if (action instanceof RouterAction.StartAttempt start) {
            begin("CALL_OUT");
            out.writeStringField("rid", start.id());
            out.writeNumberField("allow_for_us", start.timeoutMicros());
            out.writeStringField("node", start.node());
        } else if (action instanceof RouterAction.Reject reject) {
            begin("TURN_AWAY");
            out.writeStringField("rid", reject.id());
            out.writeNumberField("stay_away_us", reject.retryAfterMicros());
        } else if (action instanceof RouterAction.Fail fail) {
            begin("END_FAILED");
            out.writeStringField("rid", fail.id());
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            begin("UNDO_SEND");
            out.writeStringField("rid", cancel.id());
            out.writeNumberField("seq_no", cancel.attempt());
        } else if (action instanceof RouterAction.CheckHealth check) {
            begin("POLL");
            out.writeStringField("node", check.node());
        } else if (action instanceof RouterAction.CloseIdleConnections close) {
            begin("RELEASE");
            out.writeStringField("node", close.node());
        } else if (action instanceof RouterAction.SendPeerMessage peerMessage) {
            begin("SAY");
            out.writeNumberField("addressee", peerMessage.to());
            out.writeStringField("data", peerMessage.text());
        } else if (action instanceof RouterAction.WatchEndpoints watch) {
            begin("TAIL");
            out.writeBooleanField("active", watch.active());
        } else if (action instanceof RouterAction.FetchEndpoints) {
            begin("REFRESH");
        } else if (action instanceof RouterAction.SetTimer timer) {
            begin("WAKE_AT");
            out.writeNumberField("delay_us", timer.delayMicros());
            out.writeNumberField("handle", timer.handle());
        } else if (action instanceof RouterAction.LogMessage message) {
            begin("JOURNAL_LINE");
            out.writeStringField("text", message.text());
        }
        out.writeEndObject();
    }

    private void begin(String message) throws IOException {
        out.writeStartObject();
        out.writeStringField("msg", message);
        out.writeNumberField("who", router);
    }

    /** Writes a message that reports an unexpected exception of a router. */
    void internalError(RuntimeException failure) {
        try {
            begin("INTERNAL_ERROR");
            StackTraceElement[] trace = failure.getStackTrace();
            out.writeStringField("text", failure + (trace.length > 0 ? " at " + trace[0] : ""));
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Completes the reply and returns it, without a line end. */
    byte[] finish() {
        try {
            out.writeEndArray();
            out.writeEndObject();
            out.close();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
        return bytes.toByteArray();
    }
}
