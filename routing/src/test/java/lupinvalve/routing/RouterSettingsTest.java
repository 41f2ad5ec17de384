package lupinvalve.routing;

import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Range checks of the settings. */
class RouterSettingsTest extends RouterFixture {
    @Test
    void settingsOutOfRangeAreRejectedByName() {
        IllegalArgumentException thrown = assertThrows(
                IllegalArgumentException.class,
                () -> new RouterSettings.DeploymentLimits(0, false, true, true, true, 0, 1));
        assertTrue(thrown.getMessage().contains("attempts_cap"));
        assertThrows(
                IllegalArgumentException.class,
                () -> requestClass("x", RequestClass.Access.ANY, RequestClass.Effect.SAFE, -1));
    }
}
