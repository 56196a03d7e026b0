import pomelothread


def test_the_package_states_a_version():
    assert pomelothread.__version__.count(".") == 2
