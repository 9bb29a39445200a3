package fawnlb.lab.engine;

/**
 * What an {@link EngineServer} is to emulate.
 *
 * @param id endpoint id under which the engine is listed
 * @param startedAt start of its slow start on the fleet's clock; 0 for an engine that has passed it
 */
public record EngineSpec(
        String id, EngineProfile profile, ApiFormat apiFormat, SlowStartProfile slowStart, long startedAt) {}
