package fawnlb.config;

import static org.junit.Assert.assertEquals;
import static org.junit.Assert.assertFalse;
import static org.junit.Assert.assertTrue;

import fawnlb.decision.Idempotency;
import fawnlb.decision.IdempotencyScope;
import fawnlb.decision.LoadBalancerSettings;
import fawnlb.decision.LoadBalancerSettings.DiscoveryMode;
import fawnlb.decision.LoadBalancerSettings.LoadReporting;
import fawnlb.decision.LoadBalancerSettings.RequestClass;
import java.util.List;
import org.junit.Test;

public class SettingsParserTest {
    private static LoadBalancerSettings parse(String... lines) {
        return new SettingsParser(String.join("\n", lines)).parse();
    }

    @Test
    public void unreadableSettingsAreReportedAndGetTheirDefault() {
        SettingsParser parser =
                new SettingsParser("tick-ns=soon\nlimits.second-copies=maybe\nother=1\nrules.cold-ns=-4");
        LoadBalancerSettings settings = parser.parse();

        assertEquals(false, settings.limits().hedging());
        assertEquals(1_000_000, settings.tickNanos());
        assertTrue(parser.warnings().get(0).contains("limits.second-copies"));
        assertTrue(parser.warnings().stream().noneMatch(line -> line.contains("other")));
        assertEquals(
                List.of(
                        "fawnlb: setting limits.second-copies cannot be read: 'maybe'; using false",
                        "fawnlb: setting rules.cold-ns cannot be read: '-4'; using 30000000000",
                        "fawnlb: setting tick-ns cannot be read: 'soon'; using 1000000"),
                parser.warnings());
    }

    @Test
    public void missingSettingsGetCarefulDefaults() {
        LoadBalancerSettings settings = parse("profiles.count=1");
        RequestClass requestClass = settings.requestClasses().get(0);

        assertEquals(Idempotency.NOT_IDEMPOTENT, requestClass.idempotency());
        assertEquals(IdempotencyScope.CELL, requestClass.idempotencyScope());
        assertEquals(requestClass.deadlineNanos(), requestClass.firstTokenObjectiveNanos());
        assertEquals(1, settings.instances());
        assertEquals(1, settings.limits().maxAttempts());
        assertFalse(settings.limits().cancellation());
        assertEquals(0, settings.limits().maxRetryAfterNanos());
        assertEquals(DiscoveryMode.PUSHED, settings.discoveryMode());
        assertEquals(LoadReporting.NONE, settings.loadReporting());
    }

    @Test
    public void wordsAreReadInUpperAndLowerCase() {
        LoadBalancerSettings settings = parse(
                "profiles.count=3",
                "profiles.0.effect=safe",
                "profiles.1.effect=Keyed",
                "profiles.1.group=zone",
                "profiles.2.effect=UNSAFE",
                "registry-mode=subscribe",
                "report.how=answer");
        List<RequestClass> classes = settings.requestClasses();

        assertEquals(Idempotency.IDEMPOTENT, classes.get(0).idempotency());
        assertEquals(Idempotency.IDEMPOTENCY_KEY, classes.get(1).idempotency());
        assertEquals(IdempotencyScope.ZONE, classes.get(1).idempotencyScope());
        assertEquals(Idempotency.NOT_IDEMPOTENT, classes.get(2).idempotency());
        assertEquals(DiscoveryMode.WATCHED, settings.discoveryMode());
        assertEquals(LoadReporting.WITH_RESPONSES, settings.loadReporting());
    }

    @Test
    public void unknownWordGetsTheDefaultWithAWarning() {
        SettingsParser parser = new SettingsParser("profiles.count=1\nprofiles.0.effect=often");

        assertEquals(
                Idempotency.NOT_IDEMPOTENT,
                parser.parse().requestClasses().get(0).idempotency());
        assertEquals(
                List.of("fawnlb: setting profiles.0.effect cannot be read: 'often'; using UNSAFE"), parser.warnings());
    }

    @Test
    public void objectivesAreAssignedToClassesInTheirOrder() {
        List<RequestClass> classes = parse(
                        "profiles.count=2", "profiles.0.deadline-ns=7", "family-info.aim-us-per-1000-prompt-tokens=1.5")
                .requestClasses();

        assertEquals(1.5, classes.get(0).firstTokenObjectivePerPromptTokenNanos(), 0);
        assertEquals(7, classes.get(0).firstTokenObjectiveNanos());
        assertEquals(0, classes.get(1).firstTokenObjectivePerPromptTokenNanos(), 0);
    }
}
