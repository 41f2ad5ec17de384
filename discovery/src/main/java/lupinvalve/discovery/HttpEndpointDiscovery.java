package lupinvalve.discovery;

import static java.nio.charset.StandardCharsets.ISO_8859_1;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
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

/** Reads the endpoint list over HTTP/1.1: complete on demand, and as a watch of changes. Core thread only. */
public final class HttpEndpointDiscovery implements EndpointDiscovery {
    /** Timeout of a call for the complete list; discovery itself gives one up after a second. */
    private static final long CALL_TIMEOUT_MICROS = 1_200_000;

    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_HEAD_BYTES = 16384;
    private static final String HEAD_END = "\r\n\r\n";
    private static final int MICROS_PER_MILLI = 1000;

    /** A departure binds 250 ms after its notification: a watch event that waits longer for the core is logged. */
    private static final long LATE_EVENT_MICROS = 50_000;

    /** Lower bound of the age that unread events may have when a request is decided. */
    private static final long MIN_UNREAD_AGE_MICROS = 100_000;

    /** How long the core waits for unread events to be read. */
    private static final long READ_TIMEOUT_MICROS = 500_000;

    private final Net net;
    private final Pooler pooler;
    private final EventLoop loop;
    private final EndpointListReader reader;
    private InetSocketAddress address;
    private final WatchSchedule schedule;
    private final Map<Long, Call> watches = new HashMap<>();
    private TimerQueue.Timer deadline;
    private long deadlineAtMicros = Long.MAX_VALUE;
    private long revision;
    private long callCount;

    /** The newest call that has delivered a list; 0 where none has. */
    private long newestDelivery;

    /** The call with which discovery last restarted its revision numbers. */
    private long lastRenumbering;

    private final long createdAtMicros;
    private long knownUpToMicros;

    /**
     * Starts nothing: watches begin with {@link #subscribe}.
     *
     * @param revision the revision of the list that the pooler starts with; 0 where it has none
     */
    public HttpEndpointDiscovery(
            Net net, Pooler pooler, InetSocketAddress address, EndpointListReader reader, long revision) {
        this.net = net;
        this.pooler = pooler;
        this.address = address;
        this.reader = reader;
        this.revision = revision;
        loop = pooler.loop();
        schedule = new WatchSchedule(new Watches());
        createdAtMicros = loop.now();
        knownUpToMicros = createdAtMicros;
        loop.runBeforeEachTask(this::readPendingEvents);
    }

    /** Carries out what the schedule decides. */
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
     * Runs before each task of the core. Guards decisions made right after this process, or only its reading thread,
     * was suspended: watch events that arrived meanwhile are read first.
     */
    private void readPendingEvents() {
        long maxAge = Math.max(MIN_UNREAD_AGE_MICROS, pooler.settings().rules().drainGraceMicros() / 2);
        long upTo = net.awaitReadUpTo(maxAge, READ_TIMEOUT_MICROS);
        long now = loop.now();
        // After a timeout, which has been logged, service goes on.
        knownUpToMicros = now - upTo > maxAge ? now : upTo;
    }

    @Override
    public long knownUpToMicros() {
        return knownUpToMicros;
    }

    @Override
    public void subscribe(boolean active) {
        schedule.subscribe(active, loop.now());
        updateTimer();
    }

    /** Sets the timer to the next deadline of the schedule. */
    private void updateTimer() {
        long next = schedule.nextDeadlineMicros();
        if (next != deadlineAtMicros) {
            loop.cancel(deadline);
            deadlineAtMicros = next;
            deadline = next == Long.MAX_VALUE ? null : loop.after(next - loop.now(), this::onDeadline);
        }
    }

    private void onDeadline() {
        deadlineAtMicros = Long.MAX_VALUE;
        Log.info("discovery: a watch is silent");
        schedule.onDeadline(loop.now());
        updateTimer();
    }

    /**
     * Sets discovery's address. Guards against missed watch events: the watch at the old address stays open until one
     * at the new address has answered, or until it ends by itself.
     */
    public void move(InetSocketAddress to) {
        if (to.equals(address)) {
            return;
        }
        address = to;
        schedule.onAddressChange(loop.now());
        updateTimer();
    }

    @Override
    public void fetch() {
        new Call("/api/targets", 0);
    }

    /**
     * Applies the list of a call unless a newer one is known: calls overlap, and a late one would bring back db nodes
     * drained since. A complete list older than the revision that its watch requested counts all the same: that is how
     * discovery answers once it restarts its revision numbers.
     */
    private void applyList(Call call, byte[] json) throws IOException {
        EndpointListReader.EndpointList listed = reader.read(json, 0, json.length);
        boolean renumbered =
                call.watching && listed.complete() && call.number > newestDelivery && listed.revision() < call.since;
        if (call.number < lastRenumbering || listed.revision() < revision && !renumbered) {
            Log.info("discovery: endpoint list rejected: revision %d after %d", listed.revision(), revision);
            return;
        }
        if (newestDelivery == 0) {
            Log.info(
                    "discovery: first endpoint list: revision %d, %d db nodes, after %d ms",
                    listed.revision(), listed.entries().size(), (loop.now() - createdAtMicros) / MICROS_PER_MILLI);
        }
        lastRenumbering = renumbered ? call.number : lastRenumbering;
        revision = listed.revision();
        newestDelivery = Math.max(newestDelivery, call.number);
        pooler.onEndpointListEvent(new EndpointListEvent(
                listed.complete() ? ListForm.FULL : ListForm.UPDATE,
                listed.entries(),
                call.notifiedSinceMicros(listed.complete())));
    }

    /** Passes bytes on as they come: the answer is split on the core thread. */
    private static final class UnsplitFramer implements Framer {
        @Override
        public int cut(byte[] bytes, int from, int to, List<byte[]> out) {
            out.add(Arrays.copyOfRange(bytes, from, to));
            return to;
        }
    }

    /** One HTTP call: of the complete list, or a watch. */
    private final class Call implements Link.Events {
        private final boolean watching;

        /** Its number in the schedule; 0 where it is no watch. */
        private final long watch;

        private final String path;
        private final ByteArrayOutputStream head = new ByteArrayOutputStream();
        private final ByteArrayOutputStream body = new ByteArrayOutputStream();
        private final JsonObjectSplitter objects = new JsonObjectSplitter(MAX_ANSWER_BYTES);
        private final ChunkedDecoder chunks = new ChunkedDecoder();
        private final Link link;
        private final long number = ++callCount;
        private final long since = revision;
        private final long startedAtMicros = loop.now();
        private final TimerQueue.Timer timeout;
        private boolean headRead;
        private boolean chunked;
        private boolean ended;
        private boolean listReceived;

        /** The answer's content length; negative where its head states none. */
        private long contentBytes = -1;

        private long bodyBytes;

        /** When the bytes being processed were read. */
        private long readAtMicros;

        /** When the previous complete message was read; 0 where there is none. */
        private long previousMessageAtMicros;

        /** Since when an incomplete message may have been in flight; 0 where there is none. */
        private long inFlightSinceMicros;

        Call(String path, long watch) {
            this.path = path;
            this.watch = watch;
            watching = watch > 0;
            // A watch has the deadlines of the schedule.
            timeout = watching ? null : loop.after(CALL_TIMEOUT_MICROS, () -> fail("not answered in time"));
            link = net.dial(address, new UnsplitFramer(), this);
        }

        void end() {
            ended = true;
            loop.cancel(timeout);
            link.drop();
        }

        /**
         * The earliest time at which discovery may have sent what is being processed. Only a change on a watch that has
         * not missed a heartbeat, with no other open that may have been notified before, is as new as its bytes;
         * anything else may be old.
         */
        long notifiedSinceMicros(boolean complete) {
            boolean alive = previousMessageAtMicros > 0
                    && readAtMicros - previousMessageAtMicros
                            <= WatchSchedule.HEARTBEAT_MICROS + WatchSchedule.HEARTBEAT_DELAY_MICROS;
            return !complete && watching && alive && schedule.isOnlyOpen(watch) ? inFlightSinceMicros : Long.MIN_VALUE;
        }

        private void fail(String why) {
            if (ended) {
                return;
            }
            Log.info(
                    "discovery: %s %d at %s:%d ended after %d ms, %s, list at revision %d: %s",
                    watching ? "watch" : "call",
                    number,
                    address.getHostString(),
                    address.getPort(),
                    (loop.now() - startedAtMicros) / MICROS_PER_MILLI,
                    listReceived ? "list received" : "no list received",
                    revision,
                    why);
            pooler.discoveryReadiness().callFailed(loop.now() - startedAtMicros);
            end();
            if (watching) {
                schedule.onFailure(watch);
                updateTimer();
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
        public void closed(Link closed) {
            // An answer without a length ends with its connection, but not with a reset.
            if (!ended
                    && !watching
                    && headRead
                    && !chunked
                    && contentBytes < 0
                    && body.size() > 0
                    && !closed.endedByError()) {
                completeList();
            } else {
                fail(closed.endedByError() ? "reset" : "closed");
            }
        }

        @Override
        public void messages(Link from, List<byte[]> messages, long atMicros) {
            long waitedMicros = loop.now() - atMicros;
            if (waitedMicros > LATE_EVENT_MICROS) {
                Log.info("discovery: a watch event waited %d us for the core", waitedMicros);
            }
            readAtMicros = atMicros;
            try {
                for (byte[] bytes : messages) {
                    if (!ended) {
                        process(bytes);
                    }
                }
            } catch (IOException e) {
                fail(String.valueOf(e.getMessage()));
            }
        }

        private void process(byte[] bytes) throws IOException {
            byte[] rest = bytes;
            inFlightSinceMicros = inFlightSinceMicros == 0 ? link.earliestArrivalMicros() : inFlightSinceMicros;
            if (!headRead) {
                head.writeBytes(bytes);
                byte[] all = head.toByteArray();
                int end = new String(all, ISO_8859_1).indexOf(HEAD_END);
                if (end < 0) {
                    if (all.length > MAX_HEAD_BYTES) {
                        throw new IOException("answer without end of its head");
                    }
                    return;
                }
                parseHead(new String(all, 0, end, ISO_8859_1));
                rest = Arrays.copyOfRange(all, end + HEAD_END.length(), all.length);
                headRead = true;
                if (watching) {
                    schedule.onAnswerHead(watch, loop.now());
                    updateTimer();
                }
            }
            processBody(chunked ? chunks.decode(rest) : rest);
            if (!objects.unfinished() && (!chunked || chunks.isBetweenChunks())) {
                inFlightSinceMicros = 0;
            }
        }

        /** The watch has sent a complete heartbeat or object. */
        private void onMessage() {
            previousMessageAtMicros = readAtMicros;
            schedule.onMessage(watch, loop.now());
            updateTimer();
        }

        private void parseHead(String text) throws IOException {
            String[] lines = text.split("\r\n");
            if (!lines[0].matches("HTTP/1\\.[01] 200( .*)?")) {
                throw new IOException("answer " + lines[0]);
            }
            for (String header : lines) {
                int colon = header.indexOf(':');
                String name =
                        colon < 0 ? "" : header.substring(0, colon).strip().toLowerCase(Locale.ROOT);
                String value = header.substring(colon + 1).strip();
                if (name.equals("transfer-encoding")) {
                    chunked = value.equalsIgnoreCase("chunked");
                } else if (name.equals("content-length")) {
                    try {
                        contentBytes = Long.parseLong(value);
                    } catch (NumberFormatException e) {
                        throw new IOException("content-length " + value, e);
                    }
                }
            }
        }

        private void processBody(byte[] bytes) throws IOException {
            if (!watching) {
                if (body.size() + bytes.length > MAX_ANSWER_BYTES) {
                    throw new IOException("answer too long");
                }
                body.writeBytes(bytes);
                if (chunked ? chunks.hasEnded() : contentBytes >= 0 && body.size() >= contentBytes) {
                    completeList();
                }
                return;
            }
            for (byte[] json : objects.take(bytes)) {
                applyList(this, json);
                listReceived = true;
            }
            // Where no list is known a heartbeat does not count: the list has to come first.
            if (bytes.length > 0
                    && !objects.unfinished()
                    && !ended
                    && (listReceived || since > 0 || pooler.hasEndpoints())) {
                onMessage();
            }
            bodyBytes += bytes.length;
            if (!ended && (chunks.hasEnded() || contentBytes >= 0 && bodyBytes >= contentBytes)) {
                fail("its answer is complete");
            }
        }

        private void completeList() {
            end();
            try {
                applyList(this, body.toByteArray());
            } catch (IOException e) {
                Log.warn("discovery: %s", e.getMessage());
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            }
        }
    }
}
