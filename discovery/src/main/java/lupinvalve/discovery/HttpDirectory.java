package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.List;
import lupinvalve.Routing;
import lupinvalve.core.Deadlines;
import lupinvalve.core.Directory;
import lupinvalve.core.Loop;
import lupinvalve.core.Pooler;
import lupinvalve.log.Log;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.net.Net;

/** The list over HTTP/1.1: whole on demand, and as a watch of changes. Core thread only. */
public final class HttpDirectory implements Directory {
    /**
     * A watch beats every 2 s. One silent for longer gets a successor, and is let go after twice that, as no reset will
     * tell. What it misses binds 6 s later: from the first figure on there is time for three calls, two of which may fail.
     */
    private static final long WATCH_DOUBTED = 2_600_000, WATCH_SILENCE = 4_200_000;
    /** How long a call may take until its answer begins; discovery itself gives one up after a second. */
    private static final long CALL = 1_200_000;
    private static final int ANSWER_MOST = 4 << 20;
    /** A departure binds 250 ms after it was told: so much may the core be behind before that is worth a line. */
    private static final long LATE = 50_000;
    private final Net net;
    private final Pooler pooler;
    private final Loop loop;
    private final ListReader reader;
    private InetSocketAddress address;
    private long revision;
    private Call watch;
    /** The watch before, silent or at the former address, let go once its successor has answered. */
    private Call leaving;
    /** Calls begun so far; which of them told the revision held. */
    private long calls, toldBy;

    public HttpDirectory(Net net, Pooler pooler, InetSocketAddress address, ListReader reader, long revision) {
        this.net = net;
        this.pooler = pooler;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        loop = pooler.loop();
    }

    @Override
    public void subscribe(boolean active) {
        watch = let(watch);
        if (!active) {
            leaving = let(leaving);
        } else {
            watch = new Call("/api/targets?follow=1&since=" + revision, true);
        }
    }

    private static Call let(Call call) {
        if (call != null) {
            call.end();
        }
        return null;
    }

    /**
     * Discovery has another address from now on. Guards against a gap in the news: the watch at the old address is
     * kept until one at the new address has answered, or until it ends by itself.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        if (watch != null) {
            if (leaving == null) {
                leaving = watch;
                watch = null;
            }
            subscribe(true);
        }
    }

    @Override
    public void fetch() {
        new Call("/api/targets", false);
    }

    /**
     * Takes over what a call has told, unless something newer is known: calls overlap, and one that is late would bring back
     * db nodes that have been drained since. A whole list older than what its watch asked for counts all the same: that is
     * how discovery answers once it numbers its lists anew.
     */
    private void tell(Call by, byte[] json) throws IOException {
        ListReader.Listed listed = reader.read(json, 0, json.length);
        boolean anew = by.watching && listed.complete() && by.number > toldBy && listed.revision() < by.since;
        if (listed.revision() < revision && !anew) {
            Log.info("discovery: revision %d after %d, not taken", listed.revision(), revision);
            return;
        }
        revision = listed.revision();
        toldBy = Math.max(toldBy, by.number);
        pooler.listed(new News(listed.complete() ? Routing.ListForm.FULL : Routing.ListForm.UPDATE,
                listed.entries()));
    }

    /** Takes bytes as they come: the answer is cut on the core thread. */
    private static final class Raw implements Framer {
        @Override
        public int cut(byte[] bytes, int from, int to, List<byte[]> out) {
            out.add(Arrays.copyOfRange(bytes, from, to));
            return to;
        }
    }

    private final class Call implements Link.Events {
        private final boolean watching;
        private final String path;
        private final ByteArrayOutputStream head = new ByteArrayOutputStream();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final JsonObjects objects = new JsonObjects(ANSWER_MOST);
        private final Chunks chunks = new Chunks();
        private final Link link;
        private final long number = ++calls, since = revision;
        private Deadlines.Deadline patience, doubt;
        private boolean bodied, chunked, over;
        private long length = -1, bodyBytes;

        Call(String path, boolean watching) {
            this.path = path;
            this.watching = watching;
            patience = loop.after(CALL, this::fail);
            link = net.dial(address, new Raw(), this);
        }

        void end() {
            over = true;
            loop.drop(patience);
            loop.drop(doubt);
            link.drop();
        }

        /** The watch should have said something: it may be dead, so another is opened beside it. */
        private void doubted() {
            if (watch == this && leaving == null) {
                Log.info("discovery: watch is silent, another is opened");
                leaving = this;
                watch = null;
                subscribe(true);
            }
        }

        private void fail() {
            if (over) {
                return;
            }
            Log.info("discovery: %s ended", watching ? "watch" : "call");
            end();
            if (leaving == this) {
                // Its successor is being called, or has failed and been reported.
                leaving = null;
                return;
            }
            if (watch == this) {
                watch = null;
            }
            pooler.listed(new News(Routing.ListForm.UNAVAILABLE, List.of()));
        }

        @Override
        public void opened(Link opened) {
            link.write(("GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                    + "\r\nAccept: application/json\r\n" + (watching ? "" : "Connection: close\r\n") + "\r\n")
                    .getBytes(ISO_8859_1));
        }

        @Override
        public void malformed(Link broken, String why) {
            fail();
        }

        @Override
        public void closed(Link ended) {
            // An answer with no length ends with its connection, but a reset is no end.
            if (!over && !watching && bodied && !chunked && length < 0 && body.size() > 0 && !ended.broke()) {
                whole();
            } else {
                fail();
            }
        }

        @Override
        public void messages(Link from, List<byte[]> messages, long atMicros) {
            long waited = loop.now() - atMicros;
            if (waited > LATE) {
                Log.info("discovery: its word waited %d us for the core", waited);
            }
            try {
                for (byte[] bytes : messages) {
                    if (!over) {
                        take(bytes);
                    }
                }
            } catch (IOException e) {
                Log.warn("discovery: %s", e.getMessage());
                fail();
            }
        }

        private void take(byte[] bytes) throws IOException {
            byte[] rest = bytes;
            if (!bodied) {
                head.writeBytes(bytes);
                byte[] all = head.toByteArray();
                int end = new String(all, ISO_8859_1).indexOf("\r\n\r\n");
                if (end < 0) {
                    if (all.length > 16384) {
                        throw new IOException("answer without end of its head");
                    }
                    return;
                }
                head(new String(all, 0, end, ISO_8859_1));
                rest = Arrays.copyOfRange(all, end + 4, all.length);
                bodied = true;
                if (watching) {
                    // Where nothing has changed it says nothing until its first beat.
                    loop.drop(patience);
                    patience = loop.after(WATCH_DOUBTED, this::fail);
                }
            }
            body(chunked ? chunks.take(rest) : rest);
        }

        /** The watch has said something whole: a beat, or an object. Half of one may never be finished. */
        private void spoke() {
            if (watch == this) {
                leaving = let(leaving);
            }
            loop.drop(patience);
            loop.drop(doubt);
            patience = loop.after(WATCH_SILENCE, this::fail);
            doubt = loop.after(WATCH_DOUBTED, this::doubted);
        }

        private void head(String text) throws IOException {
            String[] lines = text.split("\r\n");
            if (!lines[0].matches("HTTP/1\\.[01] 200( .*)?")) {
                throw new IOException("answer " + lines[0]);
            }
            for (String header : lines) {
                int colon = header.indexOf(':');
                String name = colon < 0 ? "" : header.substring(0, colon).strip().toLowerCase(java.util.Locale.ROOT);
                String value = header.substring(colon + 1).strip();
                if (name.equals("transfer-encoding")) {
                    chunked = value.equalsIgnoreCase("chunked");
                } else if (name.equals("content-length")) {
                    try {
                        length = Long.parseLong(value);
                    } catch (NumberFormatException e) {
                        throw new IOException("content-length " + value, e);
                    }
                }
            }
        }

        private void body(byte[] bytes) throws IOException {
            if (!watching) {
                if (body.size() + bytes.length > ANSWER_MOST) {
                    throw new IOException("answer too long");
                }
                body.writeBytes(bytes);
                if (chunked ? chunks.ended() : length >= 0 && body.size() >= length) {
                    whole();
                }
                return;
            }
            for (byte[] json : objects.take(bytes)) {
                tell(this, json);
            }
            if (bytes.length > 0 && !objects.unfinished() && !over) {
                spoke();
            }
            bodyBytes += bytes.length;
            if (!over && (chunks.ended() || length >= 0 && bodyBytes >= length)) {
                fail();
            }
        }

        private void whole() {
            end();
            try {
                tell(this, body.toByteArray());
            } catch (IOException e) {
                Log.warn("discovery: %s", e.getMessage());
                pooler.listed(new News(Routing.ListForm.UNAVAILABLE, List.of()));
            }
        }
    }
}
