/*
 * Copyright (C) 2026 The larkkeel authors
 *
 * SPDX-License-Identifier: Apache-2.0
 */

package org.larkkeel.platform;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotEquals;
import static org.testng.Assert.assertTrue;
import static org.testng.Assert.expectThrows;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.larkkeel.http.Json;
import org.testng.annotations.Test;

/** Tests of {@link BadEntry} and of the store that holds them. */
public class BadEntryTest {
  private static final int DRAWS = 500;

  private static ObjectNode good() {
    ObjectNode entry = Json.object();
    entry.put("service", "app").put("address", "127.0.0.1:1").put("zone", "dc-1");
    return entry.put("slots", 8).put("state", "ready").put("born", 1_700_000_000_000L);
  }

  private static List<BadEntry> draws(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return Stream.generate(() -> BadEntry.draw(random)).limit(DRAWS).toList();
  }

  /** What is drawn. */
  public static class Draws {
    @Test
    public void sameSeedGivesSameShapes() {
      assertEquals(draws(1), draws(1));
      assertNotEquals(draws(1), draws(2));
    }

    /** A kind that is never drawn would be checked by nothing. */
    @Test
    public void everyKindIsDrawn() {
      Set<Class<?>> kinds = draws(1).stream().map(Object::getClass).collect(Collectors.toSet());
      assertEquals(kinds, Set.of(BadEntry.class.getPermittedSubclasses()));
    }

    /** The good entry that a shape is made of is never changed. */
    @Test
    public void noShapeIsTheGoodEntry() {
      ObjectNode entry = good();
      draws(1).forEach(shape -> assertNotEquals(shape.of(entry), good(), shape.toString()));
      assertEquals(entry, good());
    }
  }

  /** What the store makes of them. */
  public static class InStore {
    /** Unreadable bytes lie in the middle of a list whose other entries are as they were. */
    @Test
    public void listsUnreadableBytesBesideOthers() throws IOException {
      try (StoreStandin store = new StoreStandin()) {
        store.put("servers", "a", new BadEntry.NoJson(BadEntry.NO_JSONS.getLast()).of(good()));
        store.put("servers", "b", good());
        byte[] list = list(store).getBytes(StandardCharsets.ISO_8859_1);
        String lenient = new String(list, StandardCharsets.UTF_8);
        assertTrue(lenient.contains(good().toString()), lenient);
        assertFalse(lenient.indexOf(StoreStandin.NO_UTF8) >= 0);
        expectThrows(
            CharacterCodingException.class,
            () -> StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(list)));
      }
    }

    private static String list(StoreStandin store) throws IOException {
      String[] address = store.address().split(":");
      InetSocketAddress at = new InetSocketAddress(address[0], Integer.parseInt(address[1]));
      try (RawClient client = new RawClient(at)) {
        client.send("GET", "/larkkeel/objects/servers", "", "");
        return client.readUntil("\"as_of\"");
      }
    }
  }
}
