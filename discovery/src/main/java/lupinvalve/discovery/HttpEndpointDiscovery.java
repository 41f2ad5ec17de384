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

/**
 * Reads the endpoint list from discovery over HTTP/1.1: complete on request, and as a watch that streams its changes.
 * Core thread only.
 */
public final class HttpEndpointDiscovery implements EndpointDiscovery {
    /** Timeout of a call for the complete list; discovery itself abandons such a call after 1 s. */
    private static final long CALL_TIMEOUT_MICROS = 1_200_000;

    private static final int MAX_ANSWER_BYTES = 4 << 20;
    private static final int MAX_HEAD_BYTES = 16384;
    private static final String HEAD_END = "\r\n\r\n";
    private static final int MICROS_PER_MILLI = 1000;

    /**
     * Received bytes that wait longer than this for the core thread are logged: 250 ms after the departure of a db node
     * was notified, no attempt may begin there.
     */
    private static final long LATE_EVENT_MICROS = 50_000;

    /** Lower bound of the tolerated age of unread watch events when the core thread starts a task. */
    private static final long MIN_UNREAD_AGE_MICROS = 100_000;

    /** The most time that the core thread waits, before a task, for unread watch events to be read. */
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

    /** The number of the newest call that has delivered a list; 0 if none has. */
    private long newestDeliveringCall;

    /** The number of the call that showed the last restart of discovery's revision numbers; 0 if none has. */
    private long lastRenumberingCall;

    private final long createdAtMicros;
    private long knownUpToMicros;

    /**
     * Opens no connection: watches begin with {@link #subscribe}.
     *
     * @param revision the revision of the list that the pooler starts with; 0 if it has none
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

    /** Opens and closes watches as the schedule decides. */
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
     * Runs before each task of the core thread: waits until the watch events that have arrived are read. Without it, a
     * task that runs right after this process, or only the thread that reads its sockets, was suspended would decide on
     * an outdated list.
     */
    private void readPendingEvents() {
        long maxAge = Math.max(MIN_UNREAD_AGE_MICROS, pooler.settings().rules().drainGraceMicros() / 2);
        long upTo = net.awaitReadUpTo(maxAge, READ_TIMEOUT_MICROS);
        long now = loop.now();
        // After a timeout, which the call above has logged, requests are served with the list as it is.
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
        Log.info(
                "discovery: a watch has passed its deadline, %d open: closing it or opening a successor",
                schedule.openCount());
        schedule.onDeadline(loop.now());
        updateTimer();
    }

    /**
     * Sets discovery's address. So that no watch event is missed, the watch at the old address stays open until one at
     * the new address has sent a message, or until it ends by itself.
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
     * Applies the list of a call unless a newer one is known: calls overlap, and a late list would restore db nodes
     * that have been drained since. A complete list on a watch, with a lower revision than the watch requested, is
     * applied nevertheless: discovery sends one after it has restarted its revision numbers.
     */
    private void applyList(Call call, byte[] json) throws IOException {
        EndpointListReader.EndpointList listed = reader.read(json, 0, json.length);
        boolean renumbered = call.watching
                && listed.complete()
                && call.number > newestDeliveringCall
                && listed.revision() < call.since;
        if (call.number < lastRenumberingCall || listed.revision() < revision && !renumbered) {
            Log.info(
                    "discovery: endpoint list of call %d ignored, revision %d: older than the known list, revision %d",
                    call.number, listed.revision(), revision);
            return;
        }
        if (newestDeliveringCall == 0) {
            Log.info(
                    "discovery: first endpoint list: revision %d, %d db nodes, after %d ms",
                    listed.revision(), listed.entries().size(), (loop.now() - createdAtMicros) / MICROS_PER_MILLI);
        }
        lastRenumberingCall = renumbered ? call.number : lastRenumberingCall;
        revision = listed.revision();
        newestDeliveringCall = Math.max(newestDeliveringCall, call.number);
        pooler.onEndpointListEvent(new EndpointListEvent(
                listed.complete() ? ListForm.FULL : ListForm.UPDATE,
                listed.entries(),
                call.notifiedSinceMicros(listed.complete())));
    }

    /** Forwards bytes as they are read: the answer is parsed on the core thread. */
    private static final class UnsplitFramer implements Framer {
        @Override
        public int cut(byte[] bytes, int from, int to, List<byte[]> out) {
            out.add(Arrays.copyOfRange(bytes, from, to));
            return to;
        }
    }

    /** One HTTP call: a request for the complete list, or a watch. */
    private final class Call implements Link.Events {
        private final boolean watching;

        /** The number of the watch in the schedule; 0 for a call of the complete list. */
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

        /** The answer's content length; negative if its head has none. */
        private long contentBytes = -1;

        private long bodyBytes;

        /** When the bytes being processed were read, in Unix microseconds. */
        private long readAtMicros;

        /** When the previous complete message was read, in Unix microseconds; 0 if there is none. */
        private long previousMessageAtMicros;

        /** The earliest time at which an incomplete message may have been in flight; 0 if there is none. */
        private long inFlightSinceMicros;

        Call(String path, long watch) {
            this.path = path;
            this.watch = watch;
            watching = watch > 0;
            // The deadlines of a watch are kept by the schedule.
            timeout = watching ? null : loop.after(CALL_TIMEOUT_MICROS, () -> fail("no complete answer in time"));
            link = net.dial(address, new UnsplitFramer(), this);
        }

        void end() {
            ended = true;
            loop.cancel(timeout);
            link.drop();
        }

        /**
         * The earliest time at which discovery may have sent what is being processed, in Unix microseconds. It is known
         * only for a change on a watch that has not missed a heartbeat and is the only one open: another watch may have
         * been notified of the same change before. Anything else may be old.
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
                    "discovery: %s %d to %s:%d ended after %d ms, %s: %s; the list stays at revision %d",
                    watching ? "watch" : "call",
                    number,
                    address.getHostString(),
                    address.getPort(),
                    (loop.now() - startedAtMicros) / MICROS_PER_MILLI,
                    listReceived ? "list received" : "no list received",
                    why,
                    revision);
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
            // The end of the connection completes an answer without a content length; a reset does not.
            if (!ended
                    && !watching
                    && headRead
                    && !chunked
                    && contentBytes < 0
                    && body.size() > 0
                    && !closed.endedByError()) {
                completeList();
            } else {
                fail(closed.endedByError() ? "connection reset or failed" : "connection closed or never established");
            }
        }

        @Override
        public void messages(Link from, List<byte[]> messages, long atMicros) {
            long waitedMicros = loop.now() - atMicros;
            if (waitedMicros > LATE_EVENT_MICROS) {
                Log.info(
                        "discovery: bytes of %s %d waited %d us for the core thread, processing them now",
                        watching ? "watch" : "call", number, waitedMicros);
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
                        throw new IOException("the answer's head exceeds " + MAX_HEAD_BYTES + " bytes");
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
            if (!objects.isIncomplete() && (!chunked || chunks.isBetweenChunks())) {
                inFlightSinceMicros = 0;
            }
        }

        /** Records that the watch has sent a complete heartbeat or object. */
        private void onMessage() {
            previousMessageAtMicros = readAtMicros;
            schedule.onMessage(watch, loop.now());
            updateTimer();
        }

        private void parseHead(String text) throws IOException {
            String[] lines = text.split("\r\n");
            if (!lines[0].matches("HTTP/1\\.[01] 200( .*)?")) {
                throw new IOException("unexpected answer: " + lines[0]);
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
                        throw new IOException("malformed content-length: " + value, e);
                    }
                }
            }
        }

        private void processBody(byte[] bytes) throws IOException {
            if (!watching) {
                if (body.size() + bytes.length > MAX_ANSWER_BYTES) {
                    throw new IOException("the answer's body exceeds " + MAX_ANSWER_BYTES + " bytes");
                }
                body.writeBytes(bytes);
                if (chunked ? chunks.hasEnded() : contentBytes >= 0 && body.size() >= contentBytes) {
                    completeList();
                }
                return;
            }
            for (byte[] json : objects.append(bytes)) {
                applyList(this, json);
                listReceived = true;
            }
            // While no list is known a heartbeat does not count as a message: discovery has to send the list first.
            if (bytes.length > 0
                    && !objects.isIncomplete()
                    && !ended
                    && (listReceived || since > 0 || pooler.hasEndpoints())) {
                onMessage();
            }
            bodyBytes += bytes.length;
            if (!ended && (chunks.hasEnded() || contentBytes >= 0 && bodyBytes >= contentBytes)) {
                fail("discovery ended the answer");
            }
        }

        private void completeList() {
            end();
            try {
                applyList(this, body.toByteArray());
            } catch (IOException e) {
                Log.warn(
                        "discovery: answer of call %d is not an endpoint list, keeping revision %d: %s",
                        number, revision, e.getMessage());
                pooler.onEndpointListEvent(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
            }
        }
    }
}
