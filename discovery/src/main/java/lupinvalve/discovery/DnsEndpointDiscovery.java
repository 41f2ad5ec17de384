package lupinvalve.discovery;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import lupinvalve.core.EndpointDiscovery;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.core.EventLoop;
import lupinvalve.core.Pooler;
import lupinvalve.core.TimerQueue;
import lupinvalve.log.Log;
import lupinvalve.log.RepeatedWarnings;
import org.xbill.DNS.Name;
import org.xbill.DNS.TextParseException;

/**
 * Learns the endpoint list from DNS-SD records (RFC 6763): PTR records name the instances, SRV records give the address
 * of each, TXT records its attributes. Carries out what {@link ServiceBrowser} decides. Core thread only; sockets are
 * on threads of their own.
 */
public final class DnsEndpointDiscovery implements EndpointDiscovery {
    /** Shortest time for which the timer is set. */
    private static final long MIN_WAKE_MICROS = 1_000;

    private final Pooler pooler;
    private final EventLoop loop;
    private final DnsClient client = new DnsClient();
    private final RepeatedWarnings warnings = new RepeatedWarnings();
    private final ServiceBrowser browser;
    private InetSocketAddress resolver;
    private Name service;
    private long pollMicros;
    private TimerQueue.Timer timer;

    /** Sends questions to the resolver, and reports to the pooler. */
    private final class BrowserCalls implements ServiceBrowser.Calls {
        @Override
        public void send(QuestionSchedule.Sent sent) {
            Duration timeout = Duration.of(sent.awaitMicros(), ChronoUnit.MICROS);
            client.ask(
                    resolver,
                    sent.question(),
                    timeout,
                    answer -> loop.postUrgent(() -> {
                        browser.ended(sent, answer, loop.now());
                        run();
                    }));
        }

        @Override
        public void report(EndpointListEvent event) {
            pooler.onEndpointListEvent(event);
        }

        @Override
        public void warn(String kind, String text) {
            warnings.warn(kind, "dns-sd: " + text);
        }
    }

    /**
     * Asks nothing: questions begin with {@link #subscribe} or {@link #fetch}.
     *
     * @param pollMicros pause from an answer to the next time its question is asked
     * @param mysqlPort MySQL port of an instance whose TXT record has none
     * @param zones the names of zones, in the settings' order
     * @throws IllegalArgumentException if the service is no domain name
     */
    public DnsEndpointDiscovery(
            Pooler pooler,
            InetSocketAddress resolver,
            String service,
            long pollMicros,
            int mysqlPort,
            List<String> zones) {
        this.pooler = pooler;
        this.resolver = resolver;
        this.service = name(service);
        this.pollMicros = pollMicros;
        loop = pooler.loop();
        browser =
                new ServiceBrowser(new BrowserCalls(), new InstanceReader(mysqlPort, zones), this.service, pollMicros);
    }

    private static Name name(String service) {
        try {
            return Name.fromString(service, Name.root);
        } catch (TextParseException e) {
            throw new IllegalArgumentException("dns_sd.service: " + service + " is no domain name", e);
        }
    }

    /**
     * Reconfigures the discovery. What is known stays until the new resolver has answered; of another service, the db
     * nodes that it does not name are then removed. A service that is no domain name is logged and not taken up.
     */
    public void move(InetSocketAddress newResolver, String newService, long newPollMicros) {
        Name newName;
        try {
            newName = name(newService);
        } catch (IllegalArgumentException e) {
            Log.error("%s; the service stays %s", e.getMessage(), service);
            return;
        }
        boolean isSame = newResolver.equals(resolver) && newName.equals(service) && newPollMicros == pollMicros;
        resolver = newResolver;
        service = newName;
        pollMicros = newPollMicros;
        if (!isSame) {
            browser.move(newName, newPollMicros, pooler.listedEndpoints(), loop.now());
            wakeAfter(0);
        }
    }

    @Override
    public void subscribe(boolean active) {
        browser.subscribe(active, pooler.listedEndpoints(), loop.now());
        wakeAfter(0);
    }

    @Override
    public void fetch() {
        browser.fetch(pooler.listedEndpoints(), loop.now());
        wakeAfter(0);
    }

    private void wakeAfter(long micros) {
        loop.cancel(timer);
        timer = loop.after(micros, this::run);
    }

    private void run() {
        long wakeMicros = browser.run(loop.now());
        loop.cancel(timer);
        if (browser.isActive()) {
            wakeAfter(Math.max(MIN_WAKE_MICROS, wakeMicros - loop.now()));
        }
    }
}
