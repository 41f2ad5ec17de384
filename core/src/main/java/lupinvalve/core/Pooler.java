package lupinvalve.core;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;
import lupinvalve.log.Log;
import lupinvalve.maintenance.ClientDrain;
import lupinvalve.maintenance.DrainCommands;
import lupinvalve.maintenance.DrainedEndpoints;
import lupinvalve.maintenance.Metrics;
import lupinvalve.routing.AttemptOutcome;
import lupinvalve.routing.Endpoint;
import lupinvalve.routing.EndpointState;
import lupinvalve.routing.ListForm;
import lupinvalve.routing.LogPosition;
import lupinvalve.routing.RequestClass;
import lupinvalve.routing.Router;
import lupinvalve.routing.RouterAction;
import lupinvalve.routing.RouterEvent;
import lupinvalve.routing.RouterSettings;
import lupinvalve.routing.ServerRole;

/**
 * The core: knows no wire. Owns the router, the requests and the attempts, turns what happens on sockets into the
 * router's events and its actions into calls, and sees to it that each request gets exactly one final answer.
 */
public class Pooler {
    /** Requests and attempts held at most; the bound on client connections keeps far below it. */
    private static final int MOST = 8192;
    /** After a request's time, how long the router may take to end it before the core does. */
    private static final long OVERTIME = 10_000;
    /** A long answer of which nothing comes for so long is cut. */
    private static final long STALLED = 15_000_000;
    /** How often the figures of db nodes are counted anew; they may lag by 0.5 s. */
    private static final long COUNT_PACE = 100_000;
    /** How long what happens to requests is counted before the log tells of it. */
    private static final long SUMMARY_PERIOD = 5_000_000;

    private static final class Held {
        final Frontend front;
        final long ticket;
        final ClientRequest ask;
        final long expires;
        String id;
        long handle, token;
        int attempts;
        long firstSent;
        Attempt out;
        boolean answered, served;
        TimerQueue.Timer overtime;
        /** The attempt whose answer is being passed on, and the pieces so far. */
        Attempt passing;

        long pieces;

        Held(Frontend front, long ticket, ClientRequest ask, long expires) {
            this.front = front;
            this.ticket = ticket;
            this.ask = ask;
            this.expires = expires;
        }
    }

    private static final class Attempt {
        final Held of;
        final int number;
        final String node;
        final long sentAt;
        long handle;
        TimerQueue.Timer timeout;

        Attempt(Held of, int number, String node, long sentAt) {
            this.of = of;
            this.number = number;
            this.node = node;
            this.sentAt = sentAt;
        }
    }

    private final EventLoop loop;
    private final RouterSettings settings;
    private final Map<String, Backend> backends = new java.util.LinkedHashMap<>();
    /** The list as discovery tells it, and the processes of those of its db nodes that may be used. */
    private final Map<String, DiscoveredEndpoint> listing = new HashMap<>();

    private final Map<String, EndpointInstance> instances = new HashMap<>();
    /** Since when db nodes that are still listed have been told as leaving. */
    private final Map<String, Long> leaving = new HashMap<>();

    private final DrainedEndpoints maintenance;
    private final Map<String, DrainCommands> ordersBy = new HashMap<>();
    private final ClientDrain drain = new ClientDrain();
    private final Metrics figures;
    private final DiscoveryReadiness firstWord = new DiscoveryReadiness();
    /** Whether this pooler may act on what it knows; null where that right can't end. */
    private BooleanSupplier fence;

    private final Map<String, Held> byId = new HashMap<>();
    private final Set<String> named = new HashSet<>();
    private final HandleTable<Held> requests = new HandleTable<>(MOST);
    private final HandleTable<Attempt> attempts = new HandleTable<>(MOST);
    private final ArrayDeque<RouterEvent> events = new ArrayDeque<>();
    private EndpointDiscovery directory;
    private SessionTokenStore marks = SessionTokenStore.NONE;
    private Router router;
    private final RequestSummary summary = new RequestSummary();
    private boolean summaryDue;
    private boolean handling;
    private long lastAnswer = Long.MAX_VALUE;

    public Pooler(EventLoop loop, RouterSettings settings) {
        this.loop = loop;
        this.settings = settings;
        maintenance = new DrainedEndpoints(settings.rules().warmUpMicros());
        figures =
                new Metrics(settings.classes().stream().map(RequestClass::name).toList());
    }

    public ClientDrain clientDrain() {
        return drain;
    }

    public Metrics metrics() {
        return figures;
    }

    /** Discovery's first word to this process, or its refusal; from any thread. */
    public DiscoveryReadiness discoveryReadiness() {
        return firstWord;
    }

    public EventLoop loop() {
        return loop;
    }

    public RouterSettings settings() {
        return settings;
    }

    /** Adds a protocol to db nodes; before {@link #start}. */
    public void addBackend(String protocol, Backend backend) {
        backends.put(protocol, backend);
    }

    public void discovery(EndpointDiscovery source) {
        directory = source;
    }

    /**
     * From now on nothing is decided while this says no: what comes is refused at once, and what was decided and has
     * not gone out does not go. From any thread.
     */
    public void fence(BooleanSupplier open) {
        fence = open;
    }

    private boolean fenced() {
        return fence != null && !fence.getAsBoolean();
    }

    public void sessionTokens(SessionTokenStore memory) {
        marks = memory;
    }

    /** Starts the router; the list it had last comes first, as restored. */
    public void start(long seed, List<DiscoveredEndpoint> known) {
        List<RouterAction> first = new ArrayList<>();
        router = new Router(seed, settings, loop.now(), first::add);
        onEndpointListEvent(new EndpointListEvent(ListForm.RESTORED, known));
        first.forEach(this::perform);
    }

    /**
     * Publishes, from now on, the figures that follow from time as well as from events. Only for poolers that operators
     * can ask: those of a fleet each pay for what nobody reads. Once started; core thread only.
     */
    public void publishMetrics() {
        int avoided = 0;
        for (DiscoveredEndpoint entry : listing.values()) {
            String node = entry.endpoint().node();
            avoided += maintenance.isDrained(node) || router.avoids(node) ? 1 : 0;
        }
        figures.setServers(listing.size(), avoided);
        loop.after(COUNT_PACE, this::publishMetrics);
    }

    // ---- what happens ----
    /**
     * Whether a request of this name is open. Guards it against strangers: another with its name is not sent on, since
     * db nodes would take the two for one.
     */
    public boolean hasOpenRequest(String id) {
        return named.contains(id);
    }

    /** Takes a request; its ticket returns with the one final answer. Gives a handle for {@link #gone}. */
    public long submit(Frontend front, long ticket, ClientRequest ask) {
        if (requests.isFull() || fenced()) {
            figures.requestEnded(ask.classIndex(), Metrics.Result.REJECTED);
            front.rejected(ticket, settings.limits().maxRetryAfterMicros());
            return HandleTable.NO_HANDLE;
        }
        Held held = new Held(front, ticket, ask, Math.min(ask.expiresAtMicros(), lastAnswer));
        held.handle = requests.put(held);
        held.id = Long.toHexString(held.handle);
        byId.put(held.id, held);
        named.add(ask.id());
        figures.setInFlight(requests.size());
        long now = loop.now();
        long left = held.expires - now;
        long after = ask.tokenMicros();
        long marked = ask.session() == null ? 0 : marks.lastCommit(ask.session());
        if (marked > after && access(held) == RequestClass.Access.SESSION) {
            held.token = marked;
            after = marked;
        }
        // A commit is rounded up, so it may lie in the future: no age would mean no token.
        long age = after > 0 ? Math.max(1, now - after) : 0;
        held.overtime = loop.after(left + OVERTIME, () -> overtime(held));
        feed(
                now,
                new RouterEvent.RequestArrived(
                        held.id,
                        ask.classIndex(),
                        ask.retry(),
                        ask.session(),
                        age,
                        ask.group(),
                        left,
                        ask.timeoutMicros()));
        return held.handle;
    }

    /** The client of a request has gone. */
    public void clientDisconnected(long handle) {
        Held held = requests.get(handle);
        if (held != null && held.passing != null) {
            attempts.remove(held.passing.handle);
            backends.get(held.ask.protocol()).abandon(held.passing.handle);
            close(held, "left", null);
        } else if (held != null && !held.answered) {
            leave(held);
        }
    }

    /** Nobody waits for the request any more: what is out is called off where that is allowed, the rest taken back. */
    private void leave(Held held) {
        close(held, "left", null);
        feed(new RouterEvent.ClientDisconnected(held.id));
        withdraw(held);
    }

    /** Takes back an attempt that waits for its connection, of a request that is over. */
    private void withdraw(Held held) {
        if (held.out != null && backends.get(held.ask.protocol()).isAwaitingConnection(held.out.handle)) {
            abandon(held.out, AttemptOutcome.CANCELLED);
        }
    }

    /**
     * A long answer has begun to come. Where it is passed on, the router hears that the request was served: an answer
     * counts from its first bytes, and how long its client takes for the rest tells nothing of the db node.
     */
    public StreamDecision answerStarted(long handle, Object first, Backend.StreamSource source) {
        Attempt a = attempts.get(handle);
        if (a == null || a.of.answered || a.of.passing != null) {
            return StreamDecision.DROP;
        }
        Held held = a.of;
        // What an answer tells at its end must be known first where it decides: whether the read is fresh enough, or
        // which token the session gets where this pooler keeps it.
        boolean keepsToken = marks != SessionTokenStore.NONE
                || settings.replication().tokens() == RouterSettings.TokenSource.REMEMBERED;
        if (held.token > 0 || keepsToken && access(held) == RequestClass.Access.WRITE) {
            return StreamDecision.BUFFER;
        }
        held.passing = a;
        loop.cancel(a.timeout);
        loop.cancel(held.overtime);
        watch(held, 0);
        held.front.answerStarted(held.ticket, first, source);
        if (!held.answered) {
            feed(new RouterEvent.AttemptEnded(
                    held.id,
                    a.number,
                    a.node,
                    AttemptOutcome.SERVED,
                    loop.now() - a.sentAt,
                    true,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
        }
        return StreamDecision.PASS_ON;
    }

    /** A further piece of an answer that is passed on. */
    public void answerChunk(long handle, byte[] piece) {
        Attempt a = attempts.get(handle);
        if (a != null && a.of.passing == a) {
            a.of.pieces++;
            a.of.front.answerChunk(a.of.ticket, piece);
        }
    }

    /** Guards against long answers that stand still, whoever of the two peers it is that stalls. */
    private void watch(Held held, long pieces) {
        held.overtime = loop.after(STALLED, () -> {
            if (held.pieces > pieces) {
                watch(held, held.pieces);
            } else {
                Log.warn("request %s: a long answer stands still, cut", held.id);
                abandon(held.passing, AttemptOutcome.TIMED_OUT);
            }
        });
    }

    private void passed(Held held, AttemptOutcome ending, Object rest, long position, ServerRole role) {
        boolean whole = ending == AttemptOutcome.SERVED;
        close(held, whole ? "served" : "cut", whole ? Metrics.Result.SERVED : Metrics.Result.FAILED);
        if (whole) {
            held.front.served(held.ticket, rest, position, role);
        } else {
            held.front.answerAborted(held.ticket);
        }
    }

    /** An attempt has ended. The first served one is the request's final answer. */
    public void attemptEnded(long handle, AttemptOutcome told, Object answer, long position, ServerRole role) {
        Attempt a = attempts.remove(handle);
        if (a == null) {
            return;
        }
        loop.cancel(a.timeout);
        Held held = a.of;
        held.out = held.out == a ? null : held.out;
        if (held.passing == a) {
            passed(held, told, answer, position, role);
            return;
        }
        long now = loop.now();
        // A token that the statement does not carry can't be checked by the db node: its answer's position is.
        boolean behind = told == AttemptOutcome.SERVED && role != ServerRole.PRIMARY && position < held.token;
        AttemptOutcome ending = behind ? AttemptOutcome.MISSED : told;
        if (Log.debugs()) {
            Log.debug("%s#%d %s %s after %d us", held.id, a.number, a.node, ending, now - a.sentAt);
        }
        note(summary.attempt(ending, a.node));
        if (ending == AttemptOutcome.SERVED) {
            Runnable serve = () -> {
                if (!held.answered) {
                    close(held, "served", Metrics.Result.SERVED);
                    held.front.served(held.ticket, answer, position, role);
                }
            };
            if (access(held) == RequestClass.Access.WRITE
                    && held.ask.session() != null
                    && position != LogPosition.UNKNOWN) {
                // Its answer may wait until others know the token; the wait has a bound of its own.
                held.served = true;
                loop.cancel(held.overtime);
                marks.committed(held.ask.session(), position, serve);
            } else {
                serve.run();
            }
        }
        feed(
                now,
                new RouterEvent.AttemptEnded(
                        held.id,
                        a.number,
                        a.node,
                        ending,
                        now - a.sentAt,
                        held.answered || held.served,
                        position,
                        role));
    }

    /** A probe has ended. */
    public void healthCheckEnded(
            String node, AttemptOutcome ending, long elapsedMicros, long position, ServerRole role) {
        feed(new RouterEvent.HealthCheckEnded(node, ending, elapsedMicros, position, role));
    }

    /** News of the list. */
    public void onEndpointListEvent(EndpointListEvent news) {
        Set<String> unlisted = Set.of();
        boolean first = listing.isEmpty();
        if (news.form() == ListForm.UNAVAILABLE) {
            Log.info("list: unavailable, the one held stays");
        } else if (news.form() != ListForm.UPDATE) {
            // Each deploy brings new ids: those that have left must not pile up.
            Set<String> missing = new HashSet<>(listing.keySet());
            news.endpoints().forEach(entry -> missing.remove(entry.endpoint().node()));
            for (String node : missing) {
                maintenance.endpointDeparted(node, loop.now());
                listing.remove(node);
                instances.remove(node);
            }
            unlisted = missing;
        }
        tellLog(news, first, unlisted);
        for (DiscoveredEndpoint entry : news.endpoints()) {
            if (entry.endpoint().state() == EndpointState.DEPARTED) {
                if (listing.remove(entry.endpoint().node()) != null) {
                    maintenance.endpointDeparted(entry.endpoint().node(), loop.now());
                }
            } else {
                listing.put(entry.endpoint().node(), entry);
            }
        }
        tell(news);
        unlisted.forEach(this::closeIdleConnections);
        if (news.form() == ListForm.FULL || news.form() == ListForm.UPDATE) {
            firstWord.listReceived();
        }
    }

    /** Before the news is taken over. */
    private void tellLog(EndpointListEvent news, boolean first, Set<String> unlisted) {
        if (news.form() == ListForm.UNAVAILABLE) {
            return;
        }
        String changes = first ? "the first" : EndpointListDiff.describe(listing, news.endpoints(), unlisted);
        Log.info("list: %s of %d db nodes: %s", news.form(), news.endpoints().size(), changes);
    }

    /** Tells the router of entries as maintenance has them, and drops what leads to those that are gone. */
    private void tell(EndpointListEvent news) {
        long now = loop.now();
        // What may have been told long ago has no time left; the same holds in the router's table.
        long told = Math.min(now, Math.max(now - settings.rules().drainGraceMicros(), news.notifiedSinceMicros()));
        List<Endpoint> members = new ArrayList<>();
        List<String> replaced = new ArrayList<>();
        for (DiscoveredEndpoint entry : news.endpoints()) {
            Endpoint m = maintenance.effective(entry.endpoint());
            members.add(m);
            EndpointInstance known = instances.get(m.node());
            if (m.state() == EndpointState.DEPARTED) {
                instances.remove(m.node());
                replaced.add(m.node());
            } else if (known == null || !known.matches(entry)) {
                instances.put(m.node(), new EndpointInstance(entry));
                replaced.add(m.node());
            }
            if (m.state() == EndpointState.DRAINING) {
                leaving.putIfAbsent(m.node(), told);
            } else {
                leaving.remove(m.node());
            }
        }
        leaving.keySet().retainAll(instances.keySet());
        feed(now, new RouterEvent.EndpointUpdate(news.form(), members, told));
        replaced.forEach(this::closeIdleConnections);
    }

    private void closeIdleConnections(String node) {
        backends.values().forEach(b -> b.closeIdleConnections(node));
    }

    /** Why an operator's call to take a db node out or back can't be taken, or null. */
    public Optional<String> drainRejection(boolean takeOut, String node) {
        return maintenance.rejectionReason(takeOut, node, listing.containsKey(node), loop.now());
    }

    /**
     * Takes over the operators' orders; nothing new goes to what is out by the time that this returns.
     *
     * @param by which way they came: what is out by one of them is out
     */
    public void applyDrainCommands(String by, DrainCommands orders) {
        ordersBy.put(by, orders);
        DrainCommands all = ordersBy.values().stream().reduce(DrainCommands.NONE, DrainCommands::union);
        List<DiscoveredEndpoint> changed = new ArrayList<>();
        for (String node : maintenance.apply(all, loop.now())) {
            Log.info("db node %s: %s by hand", node, maintenance.isDrained(node) ? "taken out" : "called back");
            if (listing.containsKey(node)) {
                changed.add(listing.get(node));
            }
        }
        if (router != null && !changed.isEmpty()) {
            tell(new EndpointListEvent(ListForm.UPDATE, changed));
        }
    }

    /** The program ends: requests that come from now on are answered by then. */
    public void answerBy(long atMicros) {
        lastAnswer = atMicros;
    }

    /**
     * Whether what has waited for a connection to this process of a db node may still go out on it. When it was decided
     * on, the process may not have been told to leave, its client was there, and the repeat or the age of data that it
     * allows may have been in time; what counts is when the first byte goes out.
     *
     * @param attempt or {@link HandleTable#NO_HANDLE} for a health check
     */
    public boolean maySend(String node, EndpointInstance opened, long openedAt, long attempt) {
        Long since = leaving.get(node);
        boolean closed = fenced()
                || !isCurrentInstance(node, opened, openedAt)
                || since != null && loop.now() >= since + settings.rules().drainGraceMicros() * 3 / 4;
        Attempt a = attempts.get(attempt);
        return !closed
                && (a == null
                        || !a.of.front.isClientDisconnected(a.of.ticket) && router.mayStillStart(a.of.id, loop.now()));
    }

    /**
     * Until when the first byte of what is decided now may go out to a db node: a departure that has been told
     * meanwhile binds by then, or one that is known.
     */
    public long latestStartMicros(String node) {
        long known = Math.min(directory.knownUpToMicros(), leaving.getOrDefault(node, Long.MAX_VALUE));
        return known == Long.MAX_VALUE ? known : known + settings.rules().drainGraceMicros();
    }

    /** Whether a connection that was opened to a process of the db node leads to the one that the list names now. */
    public boolean isCurrentInstance(String node, EndpointInstance opened, long openedAt) {
        return opened != null && opened.leadsTo(instances.get(node), openedAt);
    }

    /** The process that the list names under the id, or null. */
    public EndpointInstance instance(String node) {
        return instances.get(node);
    }

    /** The list as it stands, with the roles and positions that db nodes have shown; after {@link #start}. */
    public List<EndpointStatus> endpointStatuses() {
        List<EndpointStatus> all = new ArrayList<>();
        for (DiscoveredEndpoint entry : listing.values()) {
            Endpoint m = entry.endpoint();
            all.add(new EndpointStatus(
                    new DiscoveredEndpoint(
                            new Endpoint(
                                    m.node(),
                                    m.group(),
                                    m.zone(),
                                    m.state(),
                                    router.isPrimary(m.node()),
                                    m.startedAtMicros()),
                            entry.addresses()),
                    router.position(m.node())));
        }
        all.sort(java.util.Comparator.comparing(
                known -> known.discovered().endpoint().node()));
        return all;
    }

    /** Whether the list names the db node, and not as gone. */
    public boolean isListed(String node) {
        return instances.containsKey(node);
    }

    /** Whether the list names any db node. */
    public boolean hasEndpoints() {
        return !listing.isEmpty();
    }

    public int openRequests() {
        return requests.size();
    }

    private RequestClass.Access access(Held held) {
        return settings.classes().get(held.ask.classIndex()).access();
    }

    /** Guards the rule that each request is answered in time, should the router fail to end one. */
    private void overtime(Held held) {
        if (!held.answered) {
            Log.warn("request %s overdue: failed by the core", held.id);
            close(held, "overdue", Metrics.Result.FAILED);
            held.front.failed(held.ticket);
            feed(new RouterEvent.ClientDisconnected(held.id));
            withdraw(held);
        }
    }

    /** @param end what its client is told; null where the client has left */
    private void close(Held held, String how, Metrics.Result end) {
        if (Log.debugs()) {
            Log.debug(
                    "%s %s %s after %d us, group %d, %d attempts, first out after %d us, given %d us",
                    held.id,
                    settings.classes().get(held.ask.classIndex()).name(),
                    how,
                    loop.now() - held.ask.arrivedAtMicros(),
                    held.ask.group(),
                    held.attempts,
                    held.attempts == 0 ? -1 : held.firstSent - held.ask.arrivedAtMicros(),
                    held.ask.timeoutMicros());
        }
        note(summary.request(how, end == Metrics.Result.SERVED));
        held.answered = true;
        loop.cancel(held.overtime);
        requests.remove(held.handle);
        byId.remove(held.id);
        named.remove(held.ask.id());
        figures.setInFlight(requests.size());
        if (end != null) {
            figures.requestEnded(held.ask.classIndex(), end);
        }
    }

    /** Has the log told of what was counted, a while after the first thing that is worth it. */
    private void note(boolean worthALine) {
        if (worthALine && !summaryDue) {
            summaryDue = true;
            loop.after(SUMMARY_PERIOD, () -> {
                summaryDue = false;
                Log.info("requests: %s", summary.take());
            });
        }
    }

    // ---- what the router wants ----
    private void feed(RouterEvent event) {
        feed(loop.now(), event);
    }

    /** Events that arise while the router's actions are carried out wait until these are done. */
    private void feed(long now, RouterEvent event) {
        events.add(event);
        if (handling) {
            return;
        }
        handling = true;
        try {
            List<RouterAction> actions = new ArrayList<>();
            long at = now;
            for (RouterEvent next = events.poll(); next != null; next = events.poll()) {
                try {
                    router.handle(at, next, actions::add);
                } catch (RuntimeException e) {
                    Log.failure("router", e);
                }
                actions.forEach(this::perform);
                actions.clear();
                at = loop.now();
            }
        } finally {
            handling = false;
        }
    }

    private void perform(RouterAction action) {
        if (action instanceof RouterAction.StartAttempt send) {
            send(send);
        } else if (action instanceof RouterAction.Reject refuse) {
            Held held = byId.get(refuse.id());
            if (held != null) {
                close(held, "refused", Metrics.Result.REJECTED);
                held.front.rejected(held.ticket, refuse.retryAfterMicros());
            }
        } else if (action instanceof RouterAction.Fail fail) {
            Held held = byId.get(fail.id());
            if (held != null) {
                close(held, "failed", Metrics.Result.FAILED);
                held.front.failed(held.ticket);
            }
        } else if (action instanceof RouterAction.CancelAttempt cancel) {
            attempts.forEach(a -> {
                if (a.number == cancel.attempt() && a.of.id.equals(cancel.id())) {
                    abandon(a, AttemptOutcome.CANCELLED);
                }
            });
        } else if (action instanceof RouterAction.CheckHealth probe) {
            probe(probe.node());
        } else if (action instanceof RouterAction.CloseIdleConnections close) {
            closeIdleConnections(close.node());
        } else if (action instanceof RouterAction.WatchEndpoints subscribe) {
            directory.subscribe(subscribe.active());
        } else if (action instanceof RouterAction.FetchEndpoints) {
            directory.fetch();
        } else if (action instanceof RouterAction.SetTimer timer) {
            loop.after(timer.delayMicros(), () -> feed(new RouterEvent.TimerFired(timer.handle())));
        } else if (action instanceof RouterAction.LogMessage note) {
            Log.info("router: %s", note.text());
        }
    }

    private void send(RouterAction.StartAttempt send) {
        Held held = byId.get(send.id());
        long now = loop.now();
        int number = held == null ? 0 : held.attempts++;
        if (number == 0 && held != null) {
            held.firstSent = now;
        }
        boolean deserted = held != null && held.front.isClientDisconnected(held.ticket);
        if (deserted) {
            // The core has not come to its client's end yet, which may be long ago by then.
            leave(held);
        }
        EndpointInstance instance = instances.get(send.node());
        String address = held == null || instance == null ? null : instance.address(held.ask.protocol());
        if (deserted || address == null || attempts.isFull() || fenced()) {
            feed(new RouterEvent.AttemptEnded(
                    send.id(),
                    number,
                    send.node(),
                    AttemptOutcome.NOT_SENT,
                    0,
                    deserted || held == null,
                    LogPosition.UNKNOWN,
                    ServerRole.UNKNOWN));
            return;
        }
        long left = held.expires - now;
        long wait = send.timeoutMicros() == 0 ? left : Math.min(send.timeoutMicros(), left);
        Attempt a = new Attempt(held, number, send.node(), now);
        a.handle = attempts.put(a);
        summary.begins(number);
        held.out = a;
        a.timeout = loop.after(wait, () -> abandon(a, AttemptOutcome.TIMED_OUT));
        backends.get(held.ask.protocol())
                .send(
                        a.handle,
                        a.node,
                        address,
                        held.ask.statement(),
                        wait,
                        send.startWithinMicros() == 0 ? wait : Math.min(send.startWithinMicros(), wait));
    }

    /** What was never handed to a socket has not run, whatever ended the wait for it. */
    private void abandon(Attempt a, AttemptOutcome ending) {
        boolean left = backends.get(a.of.ask.protocol()).abandon(a.handle);
        attemptEnded(a.handle, left ? ending : AttemptOutcome.NOT_SENT, null, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }

    private void probe(String node) {
        EndpointInstance instance = instances.get(node);
        for (Map.Entry<String, Backend> backend : backends.entrySet()) {
            String address = instance == null ? null : instance.address(backend.getKey());
            if (address != null) {
                backend.getValue().checkHealth(node, address);
                return;
            }
        }
        healthCheckEnded(node, AttemptOutcome.NOT_SENT, 0, LogPosition.UNKNOWN, ServerRole.UNKNOWN);
    }
}
