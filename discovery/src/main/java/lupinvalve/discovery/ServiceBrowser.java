package lupinvalve.discovery;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import lupinvalve.core.DiscoveredEndpoint;
import lupinvalve.core.EndpointListEvent;
import lupinvalve.routing.ListForm;
import org.xbill.DNS.DClass;
import org.xbill.DNS.Name;
import org.xbill.DNS.Record;
import org.xbill.DNS.Type;

/**
 * Decides what to ask about a service and what to report of it: each answer takes effect when it comes, whatever has
 * become of the other questions. {@link ServiceInstances} says what the answers mean, {@link QuestionSchedule} which
 * question is sent when.
 *
 * <p>No I/O and no clock: callers pass the time in microseconds. Not thread-safe.
 */
final class ServiceBrowser {
    /** Shortest pause between two reports of changes, since each has the whole list. */
    private static final long MIN_REPORT_PAUSE_MICROS = 10_000;

    /** Carries out the decisions. */
    interface Calls {
        /** Sends a question; {@link ServiceBrowser#ended} is to be called once with what came of it. */
        void send(QuestionSchedule.Sent sent);

        /** Reports the list, or that it can't be learned. May call the browser. */
        void report(EndpointListEvent event);

        /** Tells operators about a problem, which may be repeated often. */
        void warn(String kind, String text);
    }

    /** What was last reported. */
    private enum Reported {
        NOTHING,
        LIST,
        UNAVAILABLE
    }

    private final Calls calls;
    private final InstanceReader reader;
    private Name service;
    private long pollMicros;
    private ServiceInstances instances;
    /** Null while nothing is asked. */
    private QuestionSchedule schedule;

    private boolean isSubscribed;
    private boolean isFetchRequested;
    /** Whether the next answer that names the instances is to be reported even if nothing has changed. */
    private boolean isReportRequested;

    private boolean isReportDue;
    private boolean isUnavailable;
    private Reported reported = Reported.NOTHING;
    private boolean hasReportedWhole;
    private Map<String, DiscoveredEndpoint> reportedEndpoints = Map.of();
    /** Whether something may have to be reported. */
    private boolean isUpdateDue;

    private long lastUpdateMicros = Long.MIN_VALUE / 2;

    /** @param pollMicros pause from an answer to the next time its question is asked */
    ServiceBrowser(Calls calls, InstanceReader reader, Name service, long pollMicros) {
        this.calls = calls;
        this.reader = reader;
        this.service = service;
        this.pollMicros = pollMicros;
    }

    /** Whether the list is watched or requested. */
    boolean isActive() {
        return isSubscribed || isFetchRequested;
    }

    /**
     * Starts or stops watching. A watch that is renewed while questions are open changes nothing about them.
     *
     * @param listed the db nodes that are listed now, from whatever source
     */
    void subscribe(boolean active, List<DiscoveredEndpoint> listed, long nowMicros) {
        isReportRequested |= active && !isReportDue && (!isSubscribed || reported != Reported.LIST);
        isSubscribed = active;
        continueAsking(listed, nowMicros);
    }

    /** Requests the list once. */
    void fetch(List<DiscoveredEndpoint> listed, long nowMicros) {
        isFetchRequested = true;
        isReportRequested = true;
        continueAsking(listed, nowMicros);
        schedule.askServiceNow(nowMicros);
    }

    /**
     * Changes the service, the pause between questions, or the resolver, so that all is asked anew. What is known stays
     * until it is answered.
     */
    void move(Name newService, long newPollMicros, List<DiscoveredEndpoint> listed, long nowMicros) {
        boolean isOtherService = !newService.equals(service);
        service = newService;
        pollMicros = newPollMicros;
        if (schedule != null) {
            begin(isOtherService, listed, nowMicros);
        } else if (isOtherService) {
            instances = null;
        }
    }

    private void continueAsking(List<DiscoveredEndpoint> listed, long nowMicros) {
        if (!isActive()) {
            schedule = null;
        } else if (schedule == null) {
            begin(instances == null, listed, nowMicros);
        }
    }

    private void begin(boolean isOtherService, List<DiscoveredEndpoint> listed, long nowMicros) {
        if (isOtherService) {
            instances = new ServiceInstances(service, reader);
            instances.inherit(listed);
            reportedEndpoints = instances.endpoints(nowMicros);
        }
        schedule = new QuestionSchedule(instances.serviceQuestion(), pollMicros, nowMicros);
        schedule.add(instances.forgetUnneeded(), nowMicros);
        isUpdateDue = true;
    }

    /** Sends the questions that are due, and reports what has changed. Returns when to call it again at the latest. */
    long run(long nowMicros) {
        if (schedule == null) {
            return Long.MAX_VALUE;
        }
        for (DnsQuestion expired : schedule.expire(nowMicros)) {
            warn(expired, "no answer in time");
            isUpdateDue |= instances.failed(expired);
        }
        isUnavailable |= schedule.isServiceFailing();
        isUpdateDue |= isUnavailable && reported != Reported.UNAVAILABLE;
        QuestionSchedule.Sent sent = schedule.next(nowMicros);
        while (sent != null) {
            calls.send(sent);
            sent = schedule.next(nowMicros);
        }
        long nextUpdateMicros = lastUpdateMicros + MIN_REPORT_PAUSE_MICROS;
        if (isUpdateDue && nowMicros >= nextUpdateMicros) {
            update(nowMicros);
        }
        if (schedule == null) {
            return Long.MAX_VALUE;
        }
        long wakeMicros = schedule.nextWakeMicros(nowMicros);
        return isUpdateDue ? Math.min(wakeMicros, nextUpdateMicros) : wakeMicros;
    }

    /** Records what came of a question; {@link #run} is to be called after it. */
    void ended(QuestionSchedule.Sent sent, DnsAnswer answer, long nowMicros) {
        if (schedule == null || !schedule.hasSent(sent)) {
            return;
        }
        boolean wasOverdue = !sent.isOpen();
        boolean counts = schedule.ended(sent, answer.hasFailed(), answer.hasResponse(), nowMicros);
        if (counts) {
            apply(sent, answer, nowMicros);
        } else if (answer.hasFailed() && !wasOverdue) {
            warn(sent.question(), answer.reason());
            isUpdateDue |= instances.failed(sent.question());
            isUnavailable |= answer.hasResponse() && isAboutService(sent);
        }
    }

    private boolean isAboutService(QuestionSchedule.Sent sent) {
        return sent.question().equals(instances.serviceQuestion());
    }

    private void apply(QuestionSchedule.Sent sent, DnsAnswer answer, long nowMicros) {
        boolean isNew = instances.answered(sent.question(), answer, nowMicros);
        if (isAboutService(sent)) {
            isUnavailable = false;
            isReportDue |= isReportRequested;
            isReportRequested = false;
            isUpdateDue |= isReportDue || instances.hasFormer();
        }
        schedule.add(instances.takeChangedQuestions(), nowMicros);
        isNew |= applyAdditional(sent, answer, nowMicros);
        isUpdateDue |= isNew;
        instances.takeProblems().forEach(problem -> calls.warn("malformed", problem));
    }

    /** Takes records that were not asked for as answers to the questions about them; returns whether some are new. */
    private boolean applyAdditional(QuestionSchedule.Sent sent, DnsAnswer answer, long nowMicros) {
        boolean isNew = false;
        // An SRV record has to be known before the address of its host concerns an instance.
        for (int type : new int[] {Type.TXT, Type.SRV, Type.A}) {
            Map<Name, List<Record>> byName = answer.additional().stream()
                    .filter(additional -> additional.getType() == type && additional.getDClass() == DClass.IN)
                    .collect(Collectors.groupingBy(Record::getName));
            for (Map.Entry<Name, List<Record>> records : byName.entrySet()) {
                DnsQuestion question = new DnsQuestion(records.getKey(), type);
                if (instances.concerns(question) && schedule.answeredBy(sent, question, nowMicros)) {
                    isNew |= instances.answered(question, DnsAnswer.ofRecords(records.getValue()), nowMicros);
                    schedule.add(instances.takeChangedQuestions(), nowMicros);
                }
            }
        }
        return isNew;
    }

    private void warn(DnsQuestion question, String reason) {
        calls.warn("question failed", question + " is not known, keeping what was: " + reason);
    }

    // ---- reports ----

    /** Reports what has changed, and drops the questions that are no longer needed. */
    private void update(long nowMicros) {
        lastUpdateMicros = nowMicros;
        isUpdateDue = false;
        schedule.retain(instances.forgetUnneeded());
        if (instances.isNamed()) {
            reportList(nowMicros);
        }
        if (isUnavailable && reported != Reported.UNAVAILABLE) {
            reported = Reported.UNAVAILABLE;
            isReportRequested = true;
            calls.report(new EndpointListEvent(ListForm.UNAVAILABLE, List.of()));
        }
    }

    /**
     * Reports the list if it has changed or is due. Until each instance is known it is reported as a former list that
     * lacks those that are gone, so that nobody takes it for the whole one.
     */
    private void reportList(long nowMicros) {
        Map<String, DiscoveredEndpoint> endpoints = instances.endpoints(nowMicros);
        boolean isWhole = hasReportedWhole || instances.isComplete();
        boolean hasChanged = !endpoints.equals(reportedEndpoints);
        if (!hasChanged && !(isWhole && (isReportDue || !hasReportedWhole))) {
            return;
        }
        reportedEndpoints = endpoints;
        if (isWhole) {
            hasReportedWhole = true;
            reported = Reported.LIST;
            isReportDue = false;
            isFetchRequested = false;
            schedule = isSubscribed ? schedule : null;
        }
        calls.report(
                new EndpointListEvent(isWhole ? ListForm.FULL : ListForm.RESTORED, List.copyOf(endpoints.values())));
    }
}
