package lupinvalve.replication;

import java.io.IOException;
import java.util.List;
import java.util.function.Consumer;
import lupinvalve.core.EventLoop;
import lupinvalve.core.TimerQueue;
import lupinvalve.net.Addresses;
import lupinvalve.net.Link;
import lupinvalve.net.Net;

/** A subscriber's connection to one member: one call at a time. On the loop. */
final class FollowLink implements Link.Events {
    /** What a message has before it on the wire. */
    private static final int HEAD = 4;

    /** Hears what becomes of the connection. */
    interface Heard {
        /** The member has said who it is, and has been told who asks. */
        void greeted(FollowLink link);

        /** It is over; nothing more is heard of it. */
        void over(FollowLink link, String why);

        /** Bytes have gone out or come in. */
        void moved(long out, long in);
    }

    /** Whom a connection is with and between whom it is. */
    record Way(String cluster, String own, String member, String address, boolean secured) {}

    private final EventLoop loop;
    private final Way way;
    private final Heard heard;
    private Link link;
    private boolean greeted, over;
    private long call;
    private Consumer<WireMessages.Response> then;
    private TimerQueue.Timer deadline;

    FollowLink(EventLoop loop, Way way, Heard heard) {
        this.loop = loop;
        this.way = way;
        this.heard = heard;
    }

    String member() {
        return way.member();
    }

    boolean greeted() {
        return greeted && !over;
    }

    /** Whether a call is under way. */
    boolean asks() {
        return then != null;
    }

    void dial(Net net, long withinMicros) {
        link = net.dial(Addresses.parse(way.address()), new WireMessages(), this);
        deadline = loop.after(withinMicros, () -> end("it can't be reached, or says nothing"));
    }

    /** Asks; where there is no answer within the time the connection is over. */
    void ask(byte[] request, long withinMicros, Consumer<WireMessages.Response> answered) {
        then = answered;
        write(new WireMessages.Request(++call, Followers.CALL, List.of(request)).write());
        deadline = loop.after(withinMicros, () -> end("no answer in time"));
    }

    private void write(byte[] message) {
        heard.moved(message.length, 0);
        link.write(message);
    }

    /** Ends it without a word. */
    void drop() {
        if (!over) {
            over = true;
            loop.cancel(deadline);
            link.drop();
        }
    }

    private void end(String why) {
        if (!over) {
            drop();
            heard.over(this, why);
        }
    }

    @Override
    public void opened(Link opened) { // The member speaks first.
    }

    @Override
    public void messages(Link from, List<byte[]> messages, long atMicros) {
        try {
            for (byte[] message : messages) {
                heard.moved(0, HEAD + message.length);
                if (!over) {
                    message(WireMessages.kind(message), WireMessages.body(message));
                }
            }
        } catch (IOException e) {
            end(e.getMessage());
        }
    }

    private void message(WireMessages.Kind kind, byte[] body) throws IOException {
        if (kind == WireMessages.Kind.HELLO) {
            greeting(WireMessages.Hello.read(body));
        } else if (!greeted) {
            throw new IOException("no greeting");
        } else if (kind == WireMessages.Kind.RESPONSE) {
            WireMessages.Response answer = WireMessages.Response.read(body);
            if (then != null && answer.id() == call) {
                loop.cancel(deadline);
                Consumer<WireMessages.Response> now = then;
                then = null;
                now.accept(answer);
            }
        }
    }

    private void greeting(WireMessages.Hello hello) throws IOException {
        if (greeted) {
            return;
        }
        if (!hello.cluster().equals(way.cluster())
                || !hello.name().equals(way.member())
                || hello.announcement() == null) {
            throw new IOException("at " + way.address() + " is " + hello.name() + " of " + hello.cluster());
        }
        if (way.secured()) {
            Tls.check(link, way.member());
        }
        loop.cancel(deadline);
        greeted = true;
        write(new WireMessages.Hello(way.cluster(), way.own(), "", null).write());
        heard.greeted(this);
    }

    @Override
    public void malformed(Link from, String why) {
        end(why);
    }

    @Override
    public void closed(Link from) {
        end("it was closed");
    }
}
