package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.net.Framer;
import lupinvalve.net.Link;
import lupinvalve.net.Net;
import lupinvalve.routing.ListForm;

/** The list over HTTP/1.1: whole on demand, and as a watch of changes. Core thread only. */
public final class HttpDirectory implements EndpointDiscovery {
    /**
     * How long a call for the whole list may take until it is answered; discovery itself gives one up after a second.
     */
    private static final long CALL = 1_200_000;

    private static final int ANSWER_MOST = 4 << 20;
    /** A departure binds 250 ms after it was told: so much may the core be behind before that is worth a line. */
    private static final long LATE = 50_000;
    /** How old at most what is not known may be when a request is decided, and how long the core waits for that. */
    private static final long BLIND_LEAST = 100_000, CATCH_UP = 500_000;

    private final Net net;
    private final Pooler pooler;
    private final EventLoop loop;
    private final ListReader reader;
    private InetSocketAddress address;
    private final WatchSchedule schedule;
    private final Map<Long, Call> watches = new HashMap<>();
    private TimerQueue.Timer due;
    private long dueAt = Long.MAX_VALUE;
    private long revision;
    /** Calls begun so far; which of them told the revision held; with which of them its numbers last began anew. */
    private long calls, toldBy, numberedBy;

    private final long startedAt;
    private long knownUpToMicros;

    public HttpDirectory(Net net, Pooler pooler, InetSocketAddress address, ListReader reader, long revision) {
        this.net = net;
        this.pooler = pooler;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        loop = pooler.loop();
        schedule = new WatchSchedule(new Watches());
        startedAt = loop.now();
        knownUpToMicros = startedAt;
        loop.runBeforeEachTask(this::look);
    }

    /** What the schedule of watches wants done. */
    private final class Watches implements WatchSchedule.Calls {
        @Override
        public void open(long number) {
            watches.put(number, new Call("/api/targets?follow=1&since=" + revision, number));
        }

        @Override
        public void drop(long number) {
            watches.remove(number).end();
        }

        @Override
        public void unavailable() {
            pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
        }
    }

    /**
     * Runs before each piece of the core's work. Guards decisions that are made right after this process stood still,
     * or while only its listening thread did: what discovery has told meanwhile is read first.
     */
    private void look() {
        long blind = Math.max(BLIND_LEAST, pooler.settings().rules().drainGraceMicros() / 2);
        long upTo = net.readUpTo(blind, CATCH_UP);
        long now = loop.now();
        // Where the wait was in vain service goes on; that has been logged.
        knownUpToMicros = now - upTo > blind ? now : upTo;
    }

    @Override
    public long knownUpToMicros() {
        return knownUpToMicros;
    }

    @Override
    public void subscribe(boolean active) {
        schedule.subscribe(active, loop.now());
        schedule();
    }

    /** Sets the deadline to what the schedule waits for now. */
    private void schedule() {
        long next = schedule.nextAt();
        if (next != dueAt) {
            loop.cancel(due);
            dueAt = next;
            due = next == Long.MAX_VALUE ? null : loop.after(next - loop.now(), this::due);
        }
    }

    private void due() {
        dueAt = Long.MAX_VALUE;
        Log.info("discovery: a watch is silent");
        schedule.due(loop.now());
        schedule();
    }

    /**
     * Discovery has another address from now on. Guards against a gap in the news: the watch at the old address is kept
     * until one at the new address has answered, or until it ends by itself.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        schedule.moved(loop.now());
        schedule();
    }

    @Override
    public void fetch() {
        new Call("/api/targets", 0);
    }

    /**
     * Takes over what a call has told, unless something newer is known: calls overlap, and one that is late would bring
     * back db nodes that have been drained since. A whole list older than what its watch asked for counts all the same:
     * that is how discovery answers once it numbers its lists anew.
     */
    private void tell(Call by, byte[] json) throws IOException {
        ListReader.Listed listed = reader.read(json, 0, json.length);
        boolean anew = by.watching && listed.complete() && by.number > toldBy && listed.revision() < by.since;
        if (by.number < numberedBy || listed.revision() < revision && !anew) {
            Log.info("discovery: revision %d after %d, not taken", listed.revision(), revision);
            return;
        }
        if (toldBy == 0) {
            Log.info(
                    "discovery: first endpoint list: revision %d, %d db nodes, after %d ms",
                    listed.revision(), listed.entries().size(), (loop.now() - startedAt) / 1000);
        }
        numberedBy = anew ? by.number : numberedBy;
        revision = listed.revision();
        toldBy = Math.max(toldBy, by.number);
        pooler.onEndpointListEvent(new EndpointListEvent(
                listed.complete() ? ListForm.FULL : ListForm.UPDATE,
                listed.entries(),
                by.toldSince(listed.complete())));
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
        /** Its number among the watches, 0 where it is none. */
        private final long watch;

        private final String path;
        private final ByteArrayOutputStream head = new ByteArrayOutputStream();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final JsonObjects objects = new JsonObjects(ANSWER_MOST);
        private final Chunks chunks = new Chunks();
        private final Link link;
        private final long number = ++calls, since = revision, begunAt = loop.now();
        private TimerQueue.Timer patience;
        private boolean bodied, chunked, over, told;
        private long length = -1, bodyBytes;
        /** When what is being taken was read, and when the word before it was; 0 where this is the first. */
        private long readAt, wordAt;
        /** Since when what is not whole yet may have been on its way; 0 where nothing is. */
        private long begunSince;

        Call(String path, long watch) {
            this.path = path;
            this.watch = watch;
            watching = watch > 0;
            // A watch has the schedule's deadlines.
            patience = watching ? null : loop.after(CALL, () -> fail("not answered in time"));
            link = net.dial(address, new Raw(), this);
        }

        void end() {
            over = true;
            loop.cancel(patience);
            link.drop();
        }

        /**
         * The earliest time at which what is being taken may have been told. Only a change on a watch that has not
         * missed a beat, with no other open that may have been told it before, is as new as its bytes; anything else
         * may be old.
         */
        long toldSince(boolean whole) {
            boolean beats = wordAt > 0 && readAt - wordAt <= WatchSchedule.BEAT + WatchSchedule.BEAT_LATE;
            return !whole && watching && beats && schedule.alone(watch) ? begunSince : Long.MIN_VALUE;
        }

        private void fail(String why) {
            if (over) {
                return;
            }
            Log.info(
                    "discovery: %s %d at %s:%d ended after %d ms, %s, list at revision %d: %s",
                    watching ? "watch" : "call",
                    number,
                    address.getHostString(),
                    address.getPort(),
                    (loop.now() - begunAt) / 1000,
                    told ? "told" : "nothing told",
                    revision,
                    why);
            pooler.discoveryReadiness().callFailed(loop.now() - begunAt);
            end();
            if (watching) {
                schedule.failed(watch);
                schedule();
            } else {
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            }
        }

        @Override
        public void opened(Link opened) {
            link.write(("GET " + path + " HTTP/1.1\r\nHost: " + address.getHostString() + ":" + address.getPort()
                            + "\r\nAccept: application/json\r\n" + (watching ? "" : "Connection: close\r\n") + "\r\n")
                    .getBytes(ISO_8859_1));
        }

        @Override
        public void malformed(Link broken, String why) {
            fail(why);
        }

        @Override
        public void closed(Link ended) {
            // An answer with no length ends with its connection, but a reset is no end.
            if (!over && !watching && bodied && !chunked && length < 0 && body.size() > 0 && !ended.broke()) {
                whole();
            } else {
                fail(ended.broke() ? "reset" : "closed");
            }
        }

        @Override
        public void messages(Link from, List<byte[]> messages, long atMicros) {
            long waited = loop.now() - atMicros;
            if (waited > LATE) {
                Log.info("discovery: a watch event waited %d us for the core", waited);
            }
            readAt = atMicros;
            try {
                for (byte[] bytes : messages) {
                    if (!over) {
                        take(bytes);
                    }
                }
            } catch (IOException e) {
                fail(String.valueOf(e.getMessage()));
            }
        }

        private void take(byte[] bytes) throws IOException {
            byte[] rest = bytes;
            begunSince = begunSince == 0 ? link.unreadSince() : begunSince;
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
                    schedule.headed(watch, loop.now());
                    schedule();
                }
            }
            body(chunked ? chunks.take(rest) : rest);
            if (!objects.unfinished() && (!chunked || chunks.between())) {
                begunSince = 0;
            }
        }

        /** The watch has said something whole: a beat, or an object. Half of one may never be finished. */
        private void spoke() {
            wordAt = readAt;
            schedule.spoke(watch, loop.now());
            schedule();
        }

        private void head(String text) throws IOException {
            String[] lines = text.split("\r\n");
            if (!lines[0].matches("HTTP/1\\.[01] 200( .*)?")) {
                throw new IOException("answer " + lines[0]);
            }
            for (String header : lines) {
                int colon = header.indexOf(':');
                String name =
                        colon < 0 ? "" : header.substring(0, colon).strip().toLowerCase(java.util.Locale.ROOT);
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
                told = true;
            }
            // Where nothing was known before, a beat is no word: the list has to come first.
            if (bytes.length > 0 && !objects.unfinished() && !over && (told || since > 0 || pooler.hasEndpoints())) {
                spoke();
            }
            bodyBytes += bytes.length;
            if (!over && (chunks.ended() || length >= 0 && bodyBytes >= length)) {
                fail("its answer is whole");
            }
        }

        private void whole() {
            end();
            try {
                tell(this, body.toByteArray());
            } catch (IOException e) {
                Log.warn("discovery: %s", e.getMessage());
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            }
        }
    }
}
