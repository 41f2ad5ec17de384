package lupinvalve.faultinjection;

import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.function.Supplier;

/**
 * Numbers the steps at which a process accesses its disk, the network or a timer, and returns the fault, if any, that
 * is planned for a step. Counts only while enabled, so that the steps of a scenario are numbered but not those of its
 * setup. Does no I/O and reads no clock; not thread-safe.
 */
public final class FailPoints {
    /** What a process does at a step. */
    public enum StepKind {
        /** Read a file or a directory. */
        READ,
        /** Create a file. */
        CREATE,
        /** Write to a file. */
        WRITE,
        /** Force a file to disk. */
        FORCE,
        /** Replace a file atomically. */
        REPLACE,
        /** Truncate a file. */
        CUT,
        /** Delete a file. */
        DELETE,
        /** Send a message. */
        SEND,
        /** Receive a message. */
        ARRIVE,
        /** Run a scheduled task. */
        TIMER
    }

    /** A fault that can be injected at a step. */
    public enum Fault {
        /** The process dies before the step; its disk loses a part of the unforced data. */
        DIE_BEFORE(true, EnumSet.allOf(StepKind.class)),
        /** The process dies after the step; its disk loses a part of the unforced data. */
        DIE_AFTER(true, EnumSet.complementOf(EnumSet.of(StepKind.TIMER))),
        /** The first half of the bytes is written, then the process dies. */
        TORN(true, EnumSet.of(StepKind.WRITE)),
        /** All processes die before the step. */
        POWER_CUT(true, EnumSet.of(StepKind.FORCE, StepKind.SEND, StepKind.ARRIVE, StepKind.REPLACE, StepKind.DELETE)),
        /** The call fails with an I/O error; the process continues. */
        FAIL(false, EnumSet.range(StepKind.READ, StepKind.DELETE)),
        /** The message is lost. */
        LOST(false, EnumSet.of(StepKind.SEND)),
        /** The message arrives twice. */
        DOUBLED(false, EnumSet.of(StepKind.SEND)),
        /** The message is delayed by 2 s, so that messages sent after it arrive first. */
        LATE(false, EnumSet.of(StepKind.SEND)),
        /** The process is paused for 10 s, then resumes. */
        STOPPED(false, EnumSet.of(StepKind.TIMER));

        /** Whether the fault ends the process. */
        public final boolean endsProcess;

        private final Set<StepKind> applicableKinds;

        Fault(boolean endsProcess, Set<StepKind> applicableKinds) {
            this.endsProcess = endsProcess;
            this.applicableKinds = applicableKinds;
        }

        /** Whether the fault can be injected at a step of this kind. */
        public boolean fits(StepKind kind) {
            return applicableKinds.contains(kind);
        }
    }

    /**
     * A fault that is planned for a point.
     *
     * @param point the point's number, from 1
     */
    public record PlannedFault(int point, Fault fault) {
        @Override
        public String toString() {
            return point + ":" + fault;
        }

        /** Parses the form that {@link #toString} returns; throws IllegalArgumentException for any other text. */
        public static PlannedFault parse(String text) {
            int colon = text.indexOf(':');
            if (colon < 0) {
                throw new IllegalArgumentException("invalid fault \"" + text + "\"; expected POINT:FAULT");
            }
            return new PlannedFault(
                    Integer.parseInt(text.substring(0, colon)), Fault.valueOf(text.substring(colon + 1)));
        }
    }

    private final Map<Integer, Fault> plan = new TreeMap<>();
    private final List<StepKind> reachedSteps = new ArrayList<>();
    private boolean enabled;
    private Consumer<String> tracer;

    /** @param faults the faults to inject; one per point, of several at one point the last */
    public FailPoints(PlannedFault... faults) {
        for (PlannedFault planned : faults) {
            plan.put(planned.point(), planned.fault());
        }
    }

    /** Starts or stops the counting of points, and with it the injection of faults. */
    public void setEnabled(boolean enabled) {
        this.enabled = enabled;
    }

    /** Counts the next point, a step of this kind; returns the fault to inject there, or null. */
    public Fault nextFault(StepKind kind) {
        if (!enabled) {
            return null;
        }
        reachedSteps.add(kind);
        Fault fault = plan.get(reachedSteps.size());
        // An earlier fault changes the run, so this point may be of a kind to which the planned fault does not apply.
        return fault != null && fault.fits(kind) ? fault : null;
    }

    /** Passes all further trace lines to {@code tracer}. */
    public void setTracer(Consumer<String> tracer) {
        this.tracer = tracer;
    }

    /**
     * Traces a line, prefixed with the number of the last point, or with "-" while counting is off; {@code line} is
     * evaluated only if a tracer is set.
     */
    public void trace(Supplier<String> line) {
        if (tracer != null) {
            tracer.accept((enabled ? reachedSteps.size() + " " : "- ") + line.get());
        }
    }

    /** Step kinds of the points reached so far, in order; an unmodifiable view. */
    public List<StepKind> reachedSteps() {
        return Collections.unmodifiableList(reachedSteps);
    }

    /** Every applicable fault at every point. {@code steps} are the points' step kinds, in order. */
    public static List<PlannedFault> allSingleFaults(List<StepKind> steps) {
        List<PlannedFault> all = new ArrayList<>();
        for (int i = 0; i < steps.size(); i++) {
            for (Fault fault : Fault.values()) {
                if (fault.fits(steps.get(i))) {
                    all.add(new PlannedFault(i + 1, fault));
                }
            }
        }
        return all;
    }
}
