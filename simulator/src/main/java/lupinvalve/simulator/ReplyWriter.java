package lupinvalve.simulator;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.Consumer;
import lupinvalve.routing.RouterAction;

/** Writes the actions of one batch in the wire's words. */
final class ReplyWriter implements Consumer<RouterAction> {
    private static final JsonFactory JSON = new JsonFactory();
    private final ByteArrayOutputStream bytes = new ByteArrayOutputStream(512);
    private final JsonGenerator out;
    private int who;

    ReplyWriter() {
        try {
            out = JSON.createGenerator(bytes);
            out.writeStartObject();
            out.writeArrayFieldStart("do");
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** Names the router that the next actions are from. */
    void speaker(int router) {
        who = router;
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
        if (action instanceof RouterAction.StartAttempt send) {
            begin("CALL_OUT");
            out.writeStringField("rid", send.id());
            out.writeNumberField("allow_for_us", send.timeoutMicros());
            out.writeStringField("node", send.node());
        } else if (action instanceof RouterAction.Reject refuse) {
            begin("TURN_AWAY");
            out.writeStringField("rid", refuse.id());
            out.writeNumberField("stay_away_us", refuse.retryAfterMicros());
        } else if (action instanceof RouterAction.Fail fail) {
            begin("END_FAILED");
            out.writeStringField("rid", fail.id());
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            begin("UNDO_SEND");
            out.writeStringField("rid", cancel.id());
            out.writeNumberField("seq_no", cancel.attempt());
        } else if (action instanceof RouterAction.CheckHealth probe) {
            begin("POLL");
            out.writeStringField("node", probe.node());
        } else if (action instanceof RouterAction.CloseIdleConnections close) {
            begin("RELEASE");
            out.writeStringField("node", close.node());
        } else if (action instanceof RouterAction.SendPeerMessage tell) {
            begin("SAY");
            out.writeNumberField("addressee", tell.to());
            out.writeStringField("data", tell.text());
        } else if (action instanceof RouterAction.WatchEndpoints subscribe) {
            begin("TAIL");
            out.writeBooleanField("active", subscribe.active());
        } else if (action instanceof RouterAction.FetchEndpoints) {
            begin("REFRESH");
        } else if (action instanceof RouterAction.SetTimer timer) {
            begin("WAKE_AT");
            out.writeNumberField("delay_us", timer.delayMicros());
            out.writeNumberField("handle", timer.handle());
        } else if (action instanceof RouterAction.LogMessage note) {
            begin("JOURNAL_LINE");
            out.writeStringField("text", note.text());
        }
        out.writeEndObject();
    }

    private void begin(String message) throws IOException {
        out.writeStartObject();
        out.writeStringField("msg", message);
        out.writeNumberField("who", who);
    }

    /** Says that the decision code failed. */
    void fault(RuntimeException failure) {
        try {
            begin("INTERNAL_ERROR");
            StackTraceElement[] trace = failure.getStackTrace();
            out.writeStringField("text", failure + (trace.length > 0 ? " at " + trace[0] : ""));
            out.writeEndObject();
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    /** The whole reply, without a line end. */
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
