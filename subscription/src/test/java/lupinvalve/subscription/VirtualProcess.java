package lupinvalve.subscription;

/** A process in virtual time with a drifting clock; it can be paused, killed and restarted. */
class VirtualProcess {
    private static final double DRIFT_MAX_RATIO = 0.0024;
    private static final double CLOCK_OFFSET_MAX_MICROS = 1e12;

    private final VirtualNetwork network;
    private final String name;
    private final double clockRate;
    private final long clockOffsetMicros;
    private int incarnation;
    private boolean up = true;
    private long pausedUntilMicros;

    VirtualProcess(VirtualNetwork network, String name) {
        this.network = network;
        this.name = name;
        clockRate = 1 + (network.random.nextDouble() * 2 - 1) * DRIFT_MAX_RATIO;
        clockOffsetMicros = (long) (network.random.nextDouble() * CLOCK_OFFSET_MAX_MICROS);
    }

    final String name() {
        return name;
    }

    /** The current time by the process's own clock. */
    final long clockMicros() {
        return clockOffsetMicros + (long) (network.nowMicros() * clockRate);
    }

    final void runLater(long delayMicros, Runnable action) {
        network.runLater(delayMicros, this, action);
    }

    final int incarnation() {
        return incarnation;
    }

    final boolean isUp() {
        return up;
    }

    final boolean isPaused() {
        return pausedUntilMicros > network.nowMicros();
    }

    final boolean responds() {
        return up && !isPaused();
    }

    final long pausedUntilMicros() {
        return pausedUntilMicros;
    }

    final void pause(long durationMicros) {
        pausedUntilMicros = network.nowMicros() + durationMicros;
    }

    final void resume() {
        pausedUntilMicros = Math.min(pausedUntilMicros, network.nowMicros());
    }

    /** Ends this incarnation and drops all of its scheduled actions. */
    final void kill() {
        incarnation++;
        up = false;
    }

    final void markUp() {
        up = true;
    }
}
