package fawnlb.lab.engine;

import static org.junit.Assert.assertEquals;

import org.junit.Test;

public class PromptCacheTest {
    private final PromptCache cache = new PromptCache();

    @Test
    public void leastRecentlyUsedEntriesAreEvictedUntilTheRestFits() {
        cache.put(1, 100);
        cache.put(2, 100);
        cache.put(3, 100);
        cache.cachedTokens(1);
        cache.evictTo(200);
        assertEquals(100, cache.cachedTokens(1));
        assertEquals(0, cache.cachedTokens(2));
        assertEquals(100, cache.cachedTokens(3));
    }

    @Test
    public void replacedEntryCountsOnce() {
        cache.put(1, 100);
        cache.put(1, 150);
        cache.evictTo(150);
        assertEquals(150, cache.cachedTokens(1));
        cache.evictTo(149);
        assertEquals(0, cache.cachedTokens(1));
    }
}
