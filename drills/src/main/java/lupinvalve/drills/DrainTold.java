package lupinvalve.drills;

import java.util.List;

/** Passes on what discovery does with one pooler's calls, to the judge of drains and to the log. */
final class DrainTold implements NodeList.Told {
    private final String pooler;
    private final Drains drains;
    private final TimedLog log;

    DrainTold(String pooler, Drains drains, TimedLog log) {
        this.pooler = pooler;
        this.drains = drains;
        this.log = log;
    }

    @Override
    public void answered(List<String> draining, long at) {
        drains.answered(pooler, draining, at);
    }

    @Override
    public void watched() {
        drains.watched(pooler);
    }

    @Override
    public void said(String line) {
        log.said(pooler + " " + line);
    }
}
