package lupinvalve.faultinjection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import lupinvalve.faultinjection.Points.At;
import lupinvalve.faultinjection.Points.Fault;
import lupinvalve.faultinjection.Points.Kind;
import org.junit.jupiter.api.Test;

class PointsTest {
    @Test
    void onlyPointsMetWhileItIsOnAreNumbered() {
        Points points = new Points(new At(2, Fault.FAIL));
        assertNull(points.next(Kind.FORCE));
        points.count(true);
        assertNull(points.next(Kind.READ));
        assertEquals(Fault.FAIL, points.next(Kind.FORCE));
        assertNull(points.next(Kind.FORCE));
        points.count(false);
        assertNull(points.next(Kind.SEND));
        assertEquals(List.of(Kind.READ, Kind.FORCE, Kind.FORCE), points.met());
    }

    @Test
    void aFaultComesOnlyWhereItFits() {
        Points points = new Points(new At(1, Fault.TORN));
        points.count(true);
        assertNull(points.next(Kind.SEND), "a message is not torn");
        assertEquals(List.of(new At(1, Fault.DIE_BEFORE), new At(1, Fault.STOPPED)), Points.all(List.of(Kind.TIMER)));
    }

    @Test
    void aFaultAtAPointIsReadAsItIsWritten() {
        At at = new At(472, Fault.DIE_AFTER);
        assertEquals(at, At.of(at.toString()));
        assertThrows(IllegalArgumentException.class, () -> At.of("472"));
        assertThrows(IllegalArgumentException.class, () -> At.of("472:GONE"));
    }
}
