"""The memory of all answers that a host holds."""

from dogwoodchute.gateway import answer_memory
from dogwoodchute.tests import support


class AnswerMemoryTest(support.TestCase):
    def test_the_largest_answers_are_given_up_and_small_ones_are_kept(self):
        given_up = []
        memory = answer_memory.AnswerMemory(limit=1000)
        shares = {
            name: memory.open(name, lambda reason, name=name: given_up.append(name))
            for name in ("small", "large", "larger")
        }
        shares["small"].hold(100)
        for size in range(100, 450, 50):
            shares["large"].hold(size)
            shares["larger"].hold(size + 50)
        self.assertEqual([], given_up)
        shares["larger"].hold(600)
        self.assertEqual(["larger"], given_up)
        shares["large"].hold(900)
        self.assertEqual(["larger"], given_up)
        shares["small"].hold(101)
        self.assertEqual(["larger", "large"], given_up)
        shares["small"].release()
        shares["larger"].hold(1000)
        self.assertEqual(["larger", "large"], given_up)
