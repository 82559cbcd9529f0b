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

/** Tests of {@link InvalidEntry} and of the store that holds them. */
public class InvalidEntryTest {
  private static final int DRAWS = 500;

  private static ObjectNode valid() {
    ObjectNode entry = Json.object();
    entry.put("service", "app").put("address", "127.0.0.1:1").put("zone", "dc-1");
    return entry.put("slots", 8).put("state", "ready").put("born", 1_700_000_000_000L);
  }

  private static List<InvalidEntry> draws(long seed) {
    SplittableRandom random = new SplittableRandom(seed);
    return Stream.generate(() -> InvalidEntry.draw(random)).limit(DRAWS).toList();
  }

  /** Tests of the drawn shapes. */
  public static class Draws {
    @Test
    public void sameSeedGivesSameShapes() {
      assertEquals(draws(1), draws(1));
      assertNotEquals(draws(1), draws(2));
    }

    /** A kind that is never drawn would not be tested. */
    @Test
    public void everyKindIsDrawn() {
      Set<Class<?>> kinds = draws(1).stream().map(Object::getClass).collect(Collectors.toSet());
      assertEquals(kinds, Set.of(InvalidEntry.class.getPermittedSubclasses()));
    }

    /** Every shape differs from the valid entry, which is not modified. */
    @Test
    public void noShapeIsTheValidEntry() {
      ObjectNode entry = valid();
      draws(1).forEach(shape -> assertNotEquals(shape.applyTo(entry), valid(), shape.toString()));
      assertEquals(entry, valid());
    }
  }

  /** Tests of the store with invalid entries. */
  public static class InStore {
    /** A list contains the invalid bytes unchanged, next to valid entries. */
    @Test
    public void listsUnreadableBytesBesideOthers() throws IOException {
      try (StoreStandin store = new StoreStandin()) {
        store.put(
            "servers",
            "a",
            new InvalidEntry.NoJson(InvalidEntry.NON_JSONS.getLast()).applyTo(valid()));
        store.put("servers", "b", valid());
        byte[] list = list(store).getBytes(StandardCharsets.ISO_8859_1);
        String lenient = new String(list, StandardCharsets.UTF_8);
        assertTrue(lenient.contains(valid().toString()), lenient);
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
