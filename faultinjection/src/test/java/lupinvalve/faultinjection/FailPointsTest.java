package lupinvalve.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import lupinvalve.faultinjection.FailPoints.Fault;
import lupinvalve.faultinjection.FailPoints.PlannedFault;
import lupinvalve.faultinjection.FailPoints.StepKind;
import org.junit.jupiter.api.Test;

class FailPointsTest {
    @Test
    void onlyPointsReachedWhileEnabledAreNumbered() {
        FailPoints points = new FailPoints(new PlannedFault(2, Fault.FAIL));
        assertNull(points.nextFault(StepKind.FORCE));
        points.setEnabled(true);
        assertNull(points.nextFault(StepKind.READ));
        assertEquals(Fault.FAIL, points.nextFault(StepKind.FORCE));
        assertNull(points.nextFault(StepKind.FORCE));
        points.setEnabled(false);
        assertNull(points.nextFault(StepKind.SEND));
        assertEquals(List.of(StepKind.READ, StepKind.FORCE, StepKind.FORCE), points.reachedSteps());
    }

    @Test
    void aFaultIsInjectedOnlyAtStepsThatItFits() {
        FailPoints points = new FailPoints(new PlannedFault(1, Fault.TORN));
        points.setEnabled(true);
        assertNull(points.nextFault(StepKind.SEND), "TORN does not apply to SEND");
        assertEquals(
                List.of(new PlannedFault(1, Fault.DIE_BEFORE), new PlannedFault(1, Fault.STOPPED)),
                FailPoints.allSingleFaults(List.of(StepKind.TIMER)));
    }

    @Test
    void aPlannedFaultIsParsedFromItsOwnText() {
        PlannedFault planned = new PlannedFault(472, Fault.DIE_AFTER);
        assertEquals(planned, PlannedFault.parse(planned.toString()));
        assertThrows(IllegalArgumentException.class, () -> PlannedFault.parse("472"));
        assertThrows(IllegalArgumentException.class, () -> PlannedFault.parse("472:GONE"));
    }
}
