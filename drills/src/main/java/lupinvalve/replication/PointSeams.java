package lupinvalve.replication;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import lupinvalve.faultinjection.FailPoints;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import lupinvalve.log.Log;

/** Numbers what a real member does at its seams, and ends, fails or stops this very process at one of them. */
public final class PointSeams implements RaftMember.Interceptors {
    /** The exit code of a process that ended itself at its point. */
    public static final int ENDED = 137;

    private final FailPoints points = new FailPoints();
    private final FileChannel course;
    private FailPoints.PlannedFault due;
    private boolean last;

    /**
     * @param at the point and its fault, or null. Real processes meet their points in no fixed order: where the fault
     *     does not fit the point, it comes at the next one that it fits.
     * @param course is appended the kind of each point met, one character each; null for none
     */
    public PointSeams(FailPoints.PlannedFault at, Path course) throws IOException {
        due = at;
        this.course =
                course == null ? null : FileChannel.open(course, StandardOpenOption.CREATE, StandardOpenOption.APPEND);
        points.setEnabled(true);
    }

    /** The character that stands for a kind in a course. */
    public static char letter(StepKind kind) {
        return (char) ('a' + kind.ordinal());
    }

    private Fault next(StepKind kind) {
        points.nextFault(kind);
        Fault fault = null;
        if (due != null
                && points.reachedSteps().size() >= due.point()
                && due.fault().fits(kind)) {
            fault = due.fault();
            due = null;
        }
        if (course != null) {
            try {
                course.write(ByteBuffer.wrap(new byte[] {(byte) letter(kind)}));
            } catch (IOException e) {
                Log.error("course: %s", e.getMessage());
            }
        }
        if (fault != null) {
            Log.warn("point %s at %s: %s", points.reachedSteps().size(), kind, fault);
        }
        return fault;
    }

    private static void halt(Fault fault) {
        Runtime.getRuntime().halt(ENDED);
    }

    /** Stands still until somebody lets it go on. */
    private static void stop() {
        try {
            new ProcessBuilder(
                            "kill",
                            "-STOP",
                            Long.toString(ProcessHandle.current().pid()))
                    .start()
                    .waitFor();
        } catch (IOException e) {
            Log.error("stop: %s", e.getMessage());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public Disk disk(Disk folder) {
        return new FailPointDisk(folder, this::next, new FailPointDisk.Process() {
            @Override
            public boolean hasEnded() {
                return false;
            }

            @Override
            public void end(Fault fault) {
                halt(fault);
            }
        });
    }

    @Override
    public Scheduler scheduler(Scheduler own) {
        return new Scheduler() {
            @Override
            public long now() {
                return own.now();
            }

            @Override
            public void post(Runnable work) {
                own.post(() -> run(work));
            }

            @Override
            public void after(long micros, Runnable work) {
                own.after(micros, () -> run(work));
            }
        };
    }

    private void run(Runnable work) {
        if (last) {
            // What was to happen before the end has had its turn.
            halt(Fault.DIE_AFTER);
        }
        Fault fault = next(StepKind.TIMER);
        if (fault == Fault.STOPPED) {
            stop();
        } else if (fault != null) {
            halt(fault);
        }
        work.run();
    }

    @Override
    public boolean permitsMessage(boolean sent) {
        Fault fault = next(sent ? StepKind.SEND : StepKind.ARRIVE);
        if (fault == Fault.DIE_BEFORE || fault == Fault.POWER_CUT) {
            halt(fault);
        }
        last = fault == Fault.DIE_AFTER;
        return fault != Fault.LOST;
    }
}
