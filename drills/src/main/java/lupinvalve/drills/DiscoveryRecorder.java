package lupinvalve.drills;

import java.util.List;

/** Reports how discovery answered one pooler's calls to {@link Drains} and to the log. */
final class DiscoveryRecorder implements NodeList.Listener {
    private final String pooler;
    private final Drains drains;
    private final TimedLog log;

    DiscoveryRecorder(String pooler, Drains drains, TimedLog log) {
        this.pooler = pooler;
        this.drains = drains;
        this.log = log;
    }

    @Override
    public void answered(List<String> draining, long at) {
        drains.answered(pooler, draining, at);
    }

    @Override
    public void watchAnswered() {
        drains.watchAnswered(pooler);
    }

    @Override
    public void log(String line) {
        log.write(pooler + " " + line);
    }
}
